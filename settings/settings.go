// Package settings reads the settings of the processes, in YAML. Reading is
// strict: an unknown key, a wrong unit or a missing address is an error that
// names the file, the line and what is allowed.
package settings

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ryeford/ryeford/agentfleet/transport"
)

// TLS names the files of a process's identity. Relative names are relative to
// the settings file.
type TLS struct {
	Authority   string `yaml:"authority" validate:"required"`
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// Transport is how processes talk to each other.
type Transport struct {
	IdleTimeout           time.Duration `yaml:"idle_timeout" validate:"min=1s,max=10m"`
	KeepAlive             time.Duration `yaml:"keep_alive" validate:"min=500ms,max=5m,ltfield=IdleTimeout"`
	ControlBytesPerSecond int           `yaml:"control_bytes_per_second" validate:"min=1000,max=1000000"`
	GossipInterval        time.Duration `yaml:"gossip_interval" validate:"min=50ms,max=10s"`
}

// defaultTransport returns the Transport of a file that says nothing of it.
func defaultTransport() Transport {
	return Transport{
		IdleTimeout:           4 * time.Second,
		KeepAlive:             1500 * time.Millisecond,
		ControlBytesPerSecond: 10_000,
		GossipInterval:        time.Second,
	}
}

// Options returns the transport's options.
func (t *Transport) Options() transport.Options {
	return transport.Options{
		IdleTimeout:           t.IdleTimeout,
		KeepAlive:             t.KeepAlive,
		ControlBytesPerSecond: t.ControlBytesPerSecond,
	}
}

// LoadRouter reads the settings of a router.
func LoadRouter(file string) (*Router, error) {
	s := DefaultRouter()
	if err := load(file, s); err != nil {
		return nil, err
	}
	s.TLS.resolve(file)
	return s, nil
}

// LoadAgent reads the settings of an agent.
func LoadAgent(file string) (*Agent, error) {
	s := DefaultAgent()
	if err := load(file, s); err != nil {
		return nil, err
	}
	s.TLS.resolve(file)
	return s, nil
}

// LoadStandin reads the settings of a stand-in process.
func LoadStandin(file string) (*Standin, error) {
	s := &Standin{}
	if err := load(file, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Config returns the TLS settings of the identity that t names.
func (t *TLS) Config() (*tls.Config, error) {
	var contents [3][]byte
	for i, name := range []string{t.Authority, t.Certificate, t.Key} {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, &Error{File: name, Err: err}
		}
		contents[i] = content
	}
	return transport.TLSConfig(contents[0], transport.KeyPair{Certificate: contents[1], Key: contents[2]})
}

// resolve makes the file names relative to the settings file.
func (t *TLS) resolve(file string) {
	for _, name := range []*string{&t.Authority, &t.Certificate, &t.Key} {
		if !filepath.IsAbs(*name) {
			*name = filepath.Join(filepath.Dir(file), *name)
		}
	}
}

// load reads a file strictly.
func load(file string, into any) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Err: err}
	}
	if err := Parse(content, into); err != nil {
		return &Error{File: file, Err: err}
	}
	return nil
}

// Parse reads YAML strictly into a settings value.
func Parse(content []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return decodeError(err)
	}
	if err := newValidator().Struct(into); err != nil {
		return validationError(err, content)
	}
	return nil
}
