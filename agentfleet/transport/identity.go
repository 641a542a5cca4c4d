package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"os"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/settings"
)

const (
	// serverName is the DNS name in all certificates. Peers are identified by the common
	// name instead.
	serverName = "ryeford"

	// Validity of certificates.
	authorityYears  = 10
	certificateDays = 365
	// allowedClockSkew is how far a VM's clock may be behind the clock of the process
	// that issues its certificate.
	allowedClockSkew = time.Hour
)

// An Authority is a certificate authority for VMs.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// A KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns an Authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{Op: "make authority", Err: err}
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "ryeford authority"},
		NotBefore:             time.Now().Add(-allowedClockSkew),
		NotAfter:              time.Now().AddDate(authorityYears, 0, 0),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, &Error{Op: "make authority", Err: err}
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &Error{Op: "make authority", Err: err}
	}
	return &Authority{cert: cert, key: key}, nil
}

// Certificate returns the authority's certificate, in PEM.
func (a *Authority) Certificate() []byte { return encodeCertificate(a.cert.Raw) }

// Issue returns a certificate and key for a VM.
func (a *Authority) Issue(vm ryeford.VMID) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, &Error{Op: "issue certificate", Err: err}
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(vm)},
		DNSNames:    []string{serverName},
		NotBefore:   time.Now().Add(-allowedClockSkew),
		NotAfter:    time.Now().AddDate(0, 0, certificateDays),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, &Error{Op: "issue certificate", Err: err}
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, &Error{Op: "issue certificate", Err: err}
	}
	return KeyPair{
		Certificate: encodeCertificate(der),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// LoadTLSConfig returns the TLS configuration for the files in the settings. The error is
// a *settings.Error if a file can't be read.
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

// TLSConfig returns a TLS configuration that presents the certificate in pair and accepts
// only peers with a certificate of the authority.
func TLSConfig(authority []byte, pair KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, &Error{Op: "read certificate", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &Error{Op: "read authority", Err: noCertificateError{}}
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

// A noCertificateError reports that a PEM file contains no certificate.
type noCertificateError struct{}

func (noCertificateError) Error() string { return "no PEM certificate in the authority file" }
