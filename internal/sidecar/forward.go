package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/pkg/balance"
	"heathercroft.example/heathercroft/pkg/retry"
)

const (
	// peerDialTimeout bounds a connection to another node. A machine behind a
	// partition does not answer, and calls between targets may have only 250 ms.
	peerDialTimeout = 120 * time.Millisecond
	// peerIdle is how long a connection to another node is kept without use. In a mesh of
	// 76 nodes each node would keep 150 of them, of some 40 KB each.
	peerIdle = 4 * time.Second
	// peerWindow bounds the memory of one request or answer between nodes.
	peerWindow = 256 << 10
	// peerConnWindow bounds the memory of one connection between nodes.
	peerConnWindow = 1 << 20
)

// newPeerTransport returns the transport for requests to other nodes: one
// HTTP/2 connection carries many requests, and a canceled one ends its stream only.
func newPeerTransport(local net.IP, live *liveness) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: peerDialTimeout, LocalAddr: &net.TCPAddr{IP: local}}
	return &http.Transport{
		Protocols:          protocols,
		DialContext:        live.dialWith(&dialer),
		DisableCompression: true,
		IdleConnTimeout:    peerIdle,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: peerWindow, MaxReceiveBufferPerConnection: peerConnWindow,
		},
	}
}

// onceBody is a body that net/http does not send a second time by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// forward sends the call to the node of the target.
func (n *Node) forward(ctx context.Context, h hop, x *exchange, e balance.Endpoint) result {
	peer, ok := n.view.Load().Announcements[e.Node]
	if !ok {
		return result{outcome: retry.NotSent, reason: "node-unknown"}
	}
	text, err := json.Marshal(h)
	if err != nil {
		panic("a request between nodes is always encodable: " + err.Error())
	}
	var connected, wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	req := &http.Request{
		Method: x.method, URL: &url.URL{Scheme: "http", Host: peer.CallAddress.String(), Path: hopPath}, Host: x.host,
		Header: x.header, ContentLength: x.body.length(), Body: onceBody{x.body.reader()},
	}
	if x.body == nil {
		req.Body = http.NoBody
	}
	req.Header.Set(hopHeader, string(text))
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""}
	}
	n.link.sent(x.body.length())
	defer n.watch(e, req.URL.Host)()
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && resp.ContentLength >= 0 && x.method != http.MethodHead && int64(len(body)) != resp.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return n.forwardFailed(ctx, h, e, errors.Wrap(err, "read answer"), true, true)
	}
	delete(resp.Header, hopHeader)
	res.reply = &reply{status: resp.StatusCode, header: resp.Header, body: body}
	return res
}

func (n *Node) forwardFailed(ctx context.Context, h hop, e balance.Endpoint, err error, connected, wrote bool) result {
	res := result{outcome: retry.ResetAfterWrite, reason: "node-lost"}
	switch {
	case !connected:
		res = result{outcome: retry.ConnectionRefused, reason: "node-unreachable"}
	case !wrote:
		res = result{outcome: retry.ResetBeforeWrite, reason: "node-unreachable"}
	case ctx.Err() != nil:
		res = result{outcome: retry.TimedOut, reason: reasonNoAnswer}
	}
	var timeout net.Error
	// A connection that this node closed had stayed silent.
	res.silent = ctx.Err() == nil && (errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, net.ErrClosed))
	if ctx.Err() == nil {
		n.logger.Info("node_failed", "request", h.ID, "peer", string(e.Node), "outcome", res.outcome.String(), "error", err.Error())
	}
	return res
}
