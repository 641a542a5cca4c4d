package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ryeford/ryeford/settings"
)

// LoadTLSConfig returns the TLS settings of the process whose files settings name.
// A file that can't be read is a *settings.Error.
func LoadTLSConfig(files *settings.TLS) (*tls.Config, error) {
	var contents [3][]byte
	for i, name := range []string{files.Authority, files.Certificate, files.Key} {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, &settings.Error{File: name, Err: err}
		}
		contents[i] = content
	}
	return TLSConfig(contents[0], KeyPair{Certificate: contents[1], Key: contents[2]})
}

// TLSConfig returns the TLS settings of a process: it presents its certificate and
// accepts peers only with one of the same authority.
func TLSConfig(authority []byte, pair KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, &Error{Op: "read certificate", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &Error{Op: "read authority", Err: errNoCertificate{}}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// An errNoCertificate says that a PEM file holds no certificate.
type errNoCertificate struct{}

// Error returns the text of the error.
func (errNoCertificate) Error() string { return "no certificate in the file" }
