package bfpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// MaxDatagram is the largest datagram in bytes: with IP and UDP headers it
// still fits an Ethernet frame, so it is never split on the way.
const MaxDatagram = 1400

// SizeError reports a message too large for a datagram.
type SizeError struct{ Size int }

// Error names the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the %d of a datagram", e.Size, MaxDatagram)
}

// Datagrams sends and receives small messages; any of them may be lost,
// doubled or overtaken on the way.
type Datagrams struct {
	conn    *net.UDPConn
	traffic *Traffic
}

// ListenDatagrams opens the UDP socket at address.
func ListenDatagrams(address string, traffic *Traffic) (*Datagrams, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	return &Datagrams{conn: conn, traffic: traffic}, nil
}

// Send sends data for a purpose.
func (d *Datagrams) Send(to netip.AddrPort, purpose Purpose, data []byte) error {
	if len(data) > MaxDatagram {
		return &SizeError{Size: len(data)}
	}
	n, err := d.conn.WriteToUDPAddrPort(data, to)
	if err == nil {
		d.traffic.addSent(purpose, n)
	}
	return err
}

// Receive calls handle for each datagram until ctx ends; handle says what it
// was for and must not keep data.
func (d *Datagrams) Receive(ctx context.Context, handle func(from netip.AddrPort, data []byte) Purpose) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case err == nil:
			purpose := handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
			d.traffic.addReceived(purpose, n)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			// An ICMP answer to an earlier datagram can surface here; it says
			// nothing about the socket, which goes on.
			time.Sleep(time.Millisecond)
		}
	}
}
