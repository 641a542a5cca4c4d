package settings

import (
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/ryeford/ryeford"
)

// An Identity identifies a process. The settings of every router, gateway and agent
// embed it.
type Identity struct {
	// VM is the ID of the process's VM in the platform's list. It is logged,
	// identifies a gateway's row among the routers of its fleet, and is the common
	// name of a router's or agent's certificate. Two processes with the same ID
	// overwrite each other's rows and leases.
	VM ryeford.VMID `yaml:"vm" validate:"required"`
	// Region is the region of the VM. No process reads it.
	Region string `yaml:"region" validate:"required"`
	// FailureDomain is the failure domain of the VM. A gateway prefers endpoints in
	// the same one for requests to plain services; an agent reports it to routers. A
	// wrong one costs latency, and lets placement put all of an account's engines
	// into one domain.
	FailureDomain string `yaml:"failure_domain" validate:"required"`
}

// A Membership is the settings by which a router or an agent joins the fleet with
// agents.
type Membership struct {
	// Platform is the HTTP address of the platform's table, object store and list
	// of VMs. If it is wrong, the process keeps running, logs each failed read and
	// serves nothing.
	Platform Address `yaml:"platform" validate:"required"`
	// TLS is the file names of the process's certificate.
	TLS TLS `yaml:"tls"`
	// Transport is the settings of the process's connections to others.
	Transport Transport `yaml:"transport"`
}

// TLS is the file names of a process's certificate, in PEM. Relative names are
// relative to the settings file. The process doesn't start if a file is missing or
// isn't PEM.
type TLS struct {
	// Authority is the certificate of the authority that must have signed the
	// certificate of every peer.
	Authority string `yaml:"authority" validate:"required"`
	// Certificate is the process's certificate.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the private key of the certificate.
	Key string `yaml:"key" validate:"required"`
}

// Transport is the settings of a process's connections to others.
type Transport struct {
	// IdleTimeout is how long nothing may arrive from a peer before its connection
	// counts as lost. If it is too short, a paused process loses its connections; if
	// too long, requests wait for an agent that is gone.
	IdleTimeout time.Duration `yaml:"idle_timeout" validate:"min=1s,max=10m"`
	// KeepAlive is how often an idle connection is probed. It must be less than
	// idle_timeout, or idle connections are lost.
	KeepAlive time.Duration `yaml:"keep_alive" validate:"min=500ms,max=5m,ltfield=IdleTimeout"`
	// ControlBytesPerSecond limits the gossip that a process sends. If it is too
	// low, messages are dropped and loads are reported later.
	ControlBytesPerSecond int `yaml:"control_bytes_per_second" unit:"bytes a second" validate:"min=1000,max=1000000"`
	// GossipInterval is how often a process sends its loads and its revision to
	// others. The longer, the older the loads on which routing decisions are based.
	GossipInterval time.Duration `yaml:"gossip_interval" validate:"min=50ms,max=10s"`
}

func defaultTransport() Transport {
	return Transport{
		IdleTimeout:           4 * time.Second,
		KeepAlive:             1500 * time.Millisecond,
		ControlBytesPerSecond: 10_000,
		GossipInterval:        time.Second,
	}
}

// resolveTLS resolves the relative file names of TLS against the folder of the settings
// file.
func (m *Membership) resolveTLS(file string) {
	for _, name := range []*string{&m.TLS.Authority, &m.TLS.Certificate, &m.TLS.Key} {
		if !filepath.IsAbs(*name) {
			*name = filepath.Join(filepath.Dir(file), *name)
		}
	}
}

// An Address is an IP address and port in a settings file.
type Address struct {
	netip.AddrPort
}

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (a *Address) UnmarshalYAML(node ast.Node) error {
	parsed, err := netip.ParseAddrPort(node.GetToken().Value)
	if err != nil {
		return &FieldError{
			Line:    node.GetToken().Position.Line,
			Key:     strings.TrimPrefix(node.GetPath(), "$."),
			Problem: "want an IP address and port such as 10.0.0.1:7000",
		}
	}
	a.AddrPort = parsed
	return nil
}
