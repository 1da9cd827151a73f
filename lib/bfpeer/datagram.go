package bfpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// MaxDatagram is the maximum datagram size in bytes. With IP and UDP headers it fits an
// Ethernet frame, so it is never fragmented.
const MaxDatagram = 1400

// SizeError reports a message that is too large for a datagram.
type SizeError struct{ Size int }

// Error includes the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the datagram limit of %d", e.Size, MaxDatagram)
}

// Datagrams sends and receives small messages, which may be lost, duplicated or reordered.
type Datagrams struct {
	conn    *net.UDPConn
	traffic *Traffic
}

// ListenDatagrams opens a UDP socket at address.
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

// Send sends data in one datagram. Data over MaxDatagram is rejected with a SizeError.
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

// Receive calls handle for each datagram until ctx ends. handle returns the purpose that the
// datagram is counted as, and must not retain data.
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
			// An ICMP error for an earlier datagram can surface here. It does
			// not affect the socket.
			time.Sleep(time.Millisecond)
		}
	}
}
