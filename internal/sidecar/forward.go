package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/bounded"
	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// peerDialTimeout limits the connection to another node. A machine behind a network
	// partition does not respond, and calls between targets may have only 250 ms.
	peerDialTimeout = 120 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to another node is kept. In a mesh of
	// 76 nodes, each node would keep 150 of them, of some 40 KB each.
	peerIdleTimeout = 4 * time.Second
	// peerStreamWindow limits the memory of one request or response between nodes.
	peerStreamWindow = 256 << 10
	// peerConnWindow limits the memory of one connection between nodes.
	peerConnWindow = 1 << 20
)

// newPeerTransport returns the transport for requests to other nodes. One HTTP/2
// connection carries many requests, and canceling a request ends only its stream.
func newPeerTransport(dialer *net.Dialer, monitor *connMonitor) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:              protocols,
		DialContext:            monitor.dialContext(dialer),
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        peerIdleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: peerStreamWindow, MaxReceiveBufferPerConnection: peerConnWindow,
		},
	}
}

// forward sends the call to the node of the target.
func (n *Node) forward(ctx context.Context, h hopRequest, request *targetRequest, e balance.Endpoint) result {
	peer, ok := n.view.Load().Announcements[e.Node]
	if !ok {
		return result{outcome: retry.NotSent, reason: "node-unknown"}
	}
	var connected, wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	req := &http.Request{
		Method: request.method, URL: &url.URL{Scheme: "http", Host: peer.CallAddress.String(), Path: hopPath}, Host: request.host,
		Header: request.header, ContentLength: request.body.length(), Body: request.body,
	}
	if request.body == nil {
		req.Body = http.NoBody
	}
	h.write(req.Header)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	n.link.sent(request.body.length())
	defer n.monitorPeer(e, req.URL.Host)()
	resp, err := n.peers.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return n.forwardFailed(ctx, h, e, err, connected.Load(), wrote.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	res, err := readHopReply(resp.Header)
	if err != nil {
		return n.forwardFailed(ctx, h, e, err, true, true)
	}
	if res.outcome != retry.ResponseReceived {
		return res
	}
	resp.Request = req
	body, err := bounded.ReadAll(resp.Body, bodyLength(resp), maxResponseBytes, request.lease)
	if err != nil {
		return n.forwardFailed(ctx, h, e, errors.Wrap(err, "read answer"), true, true)
	}
	delete(resp.Header, hopHeader)
	res.response = &response{status: resp.StatusCode, header: resp.Header, body: body}
	return res
}

func (n *Node) forwardFailed(ctx context.Context, h hopRequest, e balance.Endpoint, err error, connected, wrote bool) result {
	res := result{outcome: retry.ResetAfterWrite, reason: "node-lost"}
	switch {
	case !connected:
		res = result{outcome: retry.ConnectionRefused, reason: "node-unreachable"}
	case !wrote:
		res = result{outcome: retry.ResetBeforeWrite, reason: "node-unreachable"}
	case ctx.Err() != nil:
		res = result{outcome: retry.TimedOut, reason: reasonNoResponse}
	}
	var timeout net.Error
	// This node closes a connection itself only if it was unresponsive.
	res.unresponsive = ctx.Err() == nil && (errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, net.ErrClosed))
	if ctx.Err() == nil {
		n.logger.Info("node_failed", "request", h.ID, "peer", string(e.Node), "outcome", res.outcome.String(), "error", err.Error())
	}
	return res
}
