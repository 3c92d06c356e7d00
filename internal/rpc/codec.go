package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageSize is the largest message in bytes. A snapshot of the state at
// plan size with all its remembered outcomes stays under it when compressed.
const MaxMessageSize = 4 << 20

// limitedCodec is the varint framing of the library with a bound on the length,
// so that a peer can't make a node allocate without limit.
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
		return errors.Newf("message of %d bytes, limit %d", length, MaxMessageSize)
	}
	body := io.LimitReader(stream, int64(length))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		c.counters.Malformed.Add(1)
		return errors.Wrap(err, "decode message")
	}
	_, err = io.Copy(io.Discard, body)
	return err
}
