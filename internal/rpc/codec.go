package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageSize is the largest message in bytes. A compressed snapshot of the state
// at planned capacity, with all retained outcomes, is smaller than this limit.
const MaxMessageSize = 4 << 20

// limitedCodec is the library's varint framing with a limit on the message length,
// so that a peer can't make a node allocate unbounded memory.
type limitedCodec struct {
	jsonrpc2.VarintObjectCodec
	counters *Counters
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > MaxMessageSize {
		c.counters.Malformed.Add(1)
		return errors.Newf("message has %d bytes, limit %d", length, MaxMessageSize)
	}
	body := io.LimitReader(stream, int64(length))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		c.counters.Malformed.Add(1)
		return errors.Wrap(err, "decode message")
	}
	_, err = io.Copy(io.Discard, body)
	return err
}
