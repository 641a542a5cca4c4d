package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// serverName is the DNS name in all certificates: a peer is identified by its
	// common name.
	serverName = "ryeford"

	// How long certificates are valid. Not measured.
	authorityYears  = 10
	certificateDays = 365
	// clockSkewAllowed is by how much a VM's clock may lag that of the process that
	// makes a certificate. Not measured.
	clockSkewAllowed = time.Hour
	// serialBits is the length of a random serial number.
	serialBits = 120
)

// An Authority signs the certificates of VMs.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// A KeyPair is a certificate and its private key, in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns a new Authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{Op: "make authority", Err: err}
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "ryeford authority"},
		NotBefore:             time.Now().Add(-clockSkewAllowed),
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
	return &Authority{cert: cert, key: key, pem: encodeCertificate(der)}, nil
}

// Certificate returns the authority's certificate, in PEM.
func (a *Authority) Certificate() []byte { return a.pem }

// Issue returns a certificate that names a VM.
func (a *Authority) Issue(vm ryeford.VMID) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, &Error{Op: "issue certificate", Err: err}
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, &Error{Op: "issue certificate", Err: err}
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(vm)},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-clockSkewAllowed),
		NotAfter:     time.Now().AddDate(0, 0, certificateDays),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
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
