package gateway

import (
	"net"
	"time"
)

// How long a caller's connection may be idle, and how long a caller may take to send
// a request's header, are limits of the operators' configuration, which change while
// the server runs. net/http takes both timeouts once, at the server's start. So it is
// given two placeholders, and a callerConn puts the limits in force in their place
// whenever net/http sets a read deadline.

const (
	// idlePlaceholder and headerPlaceholder are the timeouts that net/http is given:
	// far from each other and from any deadline that is set otherwise.
	idlePlaceholder   = 24 * time.Hour
	headerPlaceholder = 72 * time.Hour
	// placeholderMargin is how much less than a placeholder may be left when the
	// deadline arrives here.
	placeholderMargin = time.Hour
	// defaultIdle and defaultHeader are the limits until the operators set others.
	defaultIdle   = 15 * time.Second
	defaultHeader = 10 * time.Second
)

func (c *configuration) idleTimeout() time.Duration {
	if current := c.current(); current != nil && current.Limits().IdleTimeout > 0 {
		return current.Limits().IdleTimeout
	}
	return defaultIdle
}

func (c *configuration) headerTimeout() time.Duration {
	if current := c.current(); current != nil && current.Limits().HeaderTimeout > 0 {
		return current.Limits().HeaderTimeout
	}
	return defaultHeader
}

type callerListener struct {
	net.Listener
	configuration *configuration
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, configuration: l.configuration}, nil
}

type callerConn struct {
	net.Conn
	configuration *configuration
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case t.IsZero():
	case left > headerPlaceholder-placeholderMargin:
		t = time.Now().Add(c.configuration.headerTimeout())
	case left > idlePlaceholder-placeholderMargin:
		t = time.Now().Add(c.configuration.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}
