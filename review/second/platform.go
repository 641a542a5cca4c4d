//go:build review

package main

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// The parts of the configuration that all cases share.
const (
	routeHost = "desk.example"
	apiKey    = "k-agent-desk"
	tenant    = "desk"
)

// A storeServer is the platform's store, served at an address.
type storeServer struct {
	*rowstore.Store
	address netip.AddrPort
}

// newStore starts the platform's store with a configuration.
func newStore(configuration *wire.Configuration) (*storeServer, error) {
	s := &storeServer{Store: rowstore.New()}
	if _, err := s.PutJSON(wire.TableOperators, wire.KeyConfig, configuration); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = addressOf(listener)
	go func() { _ = http.Serve(listener, s.Store) }()
	return s, nil
}

// list writes the entry of a ready server.
func (s *storeServer) list(id, service string, address netip.AddrPort, slots int) error {
	_, err := s.PutJSON(wire.TableEndpoints, id, wire.Endpoint{
		Service: service, Address: address.String(), FailureDomain: "zg-a", Version: "v1", Slots: slots, State: wire.StateReady, Sequence: 1,
	})
	return err
}

// newConfiguration returns a configuration with the given routes, all on routeHost.
func newConfiguration(routes ...wire.Route) *wire.Configuration {
	c := &wire.Configuration{
		Version:  1,
		Limits:   wire.Limits{MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15000},
		Accounts: &[]wire.Account{{Name: tenant, Keys: []string{apiKey}}},
	}
	for _, route := range routes {
		route.Host = routeHost
		c.Routes = append(c.Routes, route)
		c.Services = append(c.Services, wire.Service{Name: route.Service})
	}
	return c
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}
