// Package operator is the operators' program: it sends a command to a node and
// prints the reply.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathercroft.example/heathercroft/internal/query"
	"heathercroft.example/heathercroft/internal/settings"
)

// replySlack is how long after the bound of a command its reply may arrive.
const replySlack = 3 * time.Second

// maxReply bounds a reply in bytes. A report on 2,500 nodes takes about 0.5 MiB.
const maxReply = 16 << 20

// Client sends commands to the first node that responds.
type Client struct {
	// Nodes are the addresses to try, in this order.
	Nodes []settings.BaseURL
	// ConnectTimeout bounds the time to connect to one node.
	ConnectTimeout time.Duration
}

// NewID returns an id for a command.
func NewID() string {
	var id [12]byte
	// Read never fails: it ends the process if there is no randomness.
	_, _ = rand.Read(id[:])
	return "op-" + hex.EncodeToString(id[:])
}

// Send sends a command to the nodes in turn until one gives a reply that holds.
// Every attempt has the same id, so that a command that reached several nodes has
// one effect. The error is a *query.RequestError if a node refused the request as such.
func (c Client) Send(ctx context.Context, id, text string, within time.Duration) (query.Reply, error) {
	start := time.Now()
	var failed failures
	for _, node := range c.Nodes {
		reply, err := c.attempt(ctx, node, id, text, max(within-time.Since(start), 0))
		var refused *query.RequestError
		switch {
		case errors.As(err, &refused) && !failed.mayHaveRun:
			return query.Reply{}, refused
		case err != nil:
			failed.add(node, err)
		case reply.Elsewhere, failed.mayHaveRun && reply.Status == query.StatusRefused && !reply.Decided:
			// This node did not run it, which says nothing about an earlier one.
			failed.reasons = append(failed.reasons, fmt.Sprintf("%s: %s", node, reply.Reason))
		default:
			return reply, nil
		}
	}
	return failed.reply(id), nil
}

// failures collects why no node gave a reply that holds.
type failures struct {
	reasons []string
	// mayHaveRun is set once the command may have reached a node that gave no reply.
	mayHaveRun bool
}

func (f *failures) add(node settings.BaseURL, err error) {
	f.reasons = append(f.reasons, fmt.Sprintf("%s: %v", node, err))
	var dial *net.OpError
	if !errors.As(err, &dial) || dial.Op != "dial" {
		f.mayHaveRun = true
	}
}

func (f *failures) reply(id string) query.Reply {
	reply := query.Reply{
		ID: id, Status: query.StatusRefused, Outcome: query.NotRun,
		Reason: "no node took the command: " + strings.Join(f.reasons, "; "),
	}
	if f.mayHaveRun {
		reply.Status, reply.Outcome = query.StatusUnknown, query.MayHaveRun
		reply.Reason = fmt.Sprintf("no node has told the outcome: %s; ask again by: show change %s", strings.Join(f.reasons, "; "), id)
	}
	return reply
}

// attempt sends the command to one node. Its error is a *query.RequestError, a
// *net.OpError of a failed dial, or a failure after which the command may have run.
func (c Client) attempt(ctx context.Context, node settings.BaseURL, id, text string, within time.Duration) (query.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ConnectTimeout+within+replySlack)
	defer cancel()
	waitMS := within.Milliseconds()
	body, err := json.Marshal(query.CommandRequest{ID: id, Command: text, WaitMS: &waitMS})
	if err != nil {
		return query.Reply{}, errors.Wrap(err, "encode command")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, node.String()+query.CommandPath, bytes.NewReader(body))
	if err != nil {
		return query.Reply{}, errors.Wrap(err, "write request")
	}
	req.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: c.ConnectTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return query.Reply{}, err
	}
	defer res.Body.Close()
	return readReply(res)
}

func readReply(res *http.Response) (query.Reply, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReply+1))
	if err != nil {
		return query.Reply{}, errors.Wrap(err, "read reply")
	}
	if len(data) > maxReply {
		return query.Reply{}, errors.Newf("the reply is larger than %d bytes", maxReply)
	}
	if res.StatusCode != http.StatusOK {
		var refused query.ErrorBody
		if err := json.Unmarshal(data, &refused); err == nil && refused.Error != nil && refused.Error.Outcome == query.NotRun {
			return query.Reply{}, refused.Error
		}
		return query.Reply{}, errors.Newf("the node responded with HTTP status %d", res.StatusCode)
	}
	var reply query.Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return query.Reply{}, errors.Wrap(err, "the reply is no valid JSON")
	}
	if reply.Status == "" {
		return query.Reply{}, errors.New("the reply has no status")
	}
	return reply, nil
}
