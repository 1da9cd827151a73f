package bfcommand

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	"bilberryflow.org/bfnode/internal/bfmesh"
	"bilberryflow.org/lib/bfannounce"
	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfcaller"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfprogram"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfserver"
)

// Program returns the daemon bfnode.
func Program() bfprogram.Program[Settings] {
	return bfprogram.Program[Settings]{
		Name:        "bfnode",
		Description: "The node beside a target instance: entry for callers, guard of its target, member of the control plane.",
		Defaults:    Defaults,
		Example:     Example,
		Check:       Check,
		Instance:    func(s Settings) string { return s.Instance },
		Build:       build,
	}
}

func build(settings Settings, logger *bflog.Logger) (bfprogram.App, error) {
	limits := settings.limits()
	limits.LimitRuntime()
	bfanswer.LimitBuffers(limits.AnswerMemory())
	if settings.Mesh != nil {
		return bfmesh.Build(settings.commonSettings(), *settings.Mesh, logger)
	}
	node, err := newNode(settings, logger, time.Now())
	if err != nil {
		return bfprogram.App{}, err
	}
	ports, err := node.listen()
	if err != nil {
		return bfprogram.App{}, err
	}
	return bfprogram.App{
		Servers:     append(ports, node),
		Drain:       node.drain,
		StopTimeout: settings.StopTimeout.Std(),
	}, nil
}

// listen opens every port before any of them serves, so that a port in use fails the
// start instead of leaving a node that works in part.
func (n *node) listen() ([]transport.Server, error) {
	s := n.settings
	tlsConfig, err := bfserver.LoadTLS(s.Certificate, s.Key)
	if err != nil {
		return nil, err
	}
	announcements := http.NewServeMux()
	announcements.HandleFunc("POST "+bfannounce.Path, n.guard.ServeAnnouncements)
	service := func() *bfresource.Port { return n.budget.NewPort(n.limits.ServiceConnections()) }
	ports := []struct {
		name, address string
		handler       http.Handler
		options       bfserver.Options
	}{
		{"caller", s.Listen.Caller, n.caller, bfserver.Options{Bounds: n.budget.NewPort(n.limits.CallerConnections()), Exhausted: n.caller.RefuseExhausted}},
		{"inbound", s.Listen.Inbound, n.guard, bfserver.Options{Bounds: n.budget.NewPort(n.limits.NodeConnections()), Exhausted: n.guard.RefuseExhausted}},
		{"target", s.Listen.Target, announcements, bfserver.Options{Bounds: service()}},
	}
	var servers []transport.Server
	for _, port := range ports {
		server, err := bfserver.Listen(port.name, port.address, port.handler, port.options)
		if err != nil {
			return nil, err
		}
		if port.name == "inbound" {
			server.AllowHTTP2()
		}
		servers = append(servers, server)
	}
	operator, err := bfserver.Listen("operator", s.Listen.Operator, n.operator, bfserver.Options{TLS: tlsConfig, Bounds: service()})
	if err != nil {
		return nil, err
	}
	if n.peers, err = net.Listen("tcp", s.Listen.Peer); err != nil {
		return nil, &bfserver.ListenError{Port: "peer", Address: s.Listen.Peer, Reason: err}
	}
	n.peers = bfresource.NewListener(n.peers, n.budget.NewPort(n.limits.PeerConnections()))
	return append(servers, operator), nil
}

// warmUpSpread is the jitter of the warm-up interval, as a fraction of it. It keeps
// nodes from opening connections at the same moment.
const warmUpSpread = 0.5

// Start runs the control plane and returns when Stop is called.
func (n *node) Start(context.Context) error {
	n.group.Go("timer", n.timer.Run)
	n.group.Go("calls", func(ctx context.Context) error { return n.calls.Serve(ctx, n.peers) })
	n.group.Go("control", n.control.Run)
	n.group.Go("rumor", n.rumor.Run)
	n.budget.Watch(n.timer, n.logger)
	n.timer.Every(func() time.Duration { return bfannounce.Heartbeat / 2 }, n.guard.Observe)
	n.timer.Every(func() time.Duration { return sweepInterval }, n.sweep)
	n.timer.Every(n.timer.Jittered(bfcaller.WarmUpInterval, warmUpSpread), n.entry.WarmUp)
	return n.group.Wait()
}

// Stop ends the control plane.
func (n *node) Stop(context.Context) error {
	n.calls.CloseAll()
	n.group.Cancel()
	return nil
}
