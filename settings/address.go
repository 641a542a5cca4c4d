package settings

import (
	"net/netip"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

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
