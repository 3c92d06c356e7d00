package record

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports bytes that are not a record. All nodes read the same bytes
// and therefore skip the same offsets.
var ErrMalformed = errors.New("malformed record")

// ErrUnsupported reports a record written by a newer binary. A node must not skip
// it, since newer nodes apply it and their states would diverge.
var ErrUnsupported = errors.New("unsupported record")

// ErrTooLarge reports an encoded record that exceeds MaxSize.
var ErrTooLarge = errors.New("record is larger than the limit")

// envelope is the JSON form of a record.
type envelope struct {
	Schema           int             `json:"schema"`
	ID               string          `json:"id"`
	Kind             Kind            `json:"kind"`
	Author           string          `json:"author"`
	Base             Revision        `json:"base"`
	ExpectedRevision Revision        `json:"presumes,omitempty"`
	Epoch            Epoch           `json:"epoch,omitempty"`
	Body             json.RawMessage `json:"body"`
}

type batchItem struct {
	Kind             Kind            `json:"kind"`
	ExpectedRevision Revision        `json:"presumes,omitempty"`
	Body             json.RawMessage `json:"body"`
}

// Encode returns the log entry of a record.
func Encode(r Record) ([]byte, error) {
	if r.Body == nil {
		return nil, errors.Wrap(ErrMalformed, "record has no body")
	}
	body, err := encodeBody(r.Body)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(envelope{
		Schema: Schema, ID: r.ID, Kind: r.Body.Kind(), Author: r.Author,
		Base: r.Base, ExpectedRevision: r.ExpectedRevision, Epoch: r.Epoch, Body: body,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxSize {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(data), MaxSize)
	}
	return data, nil
}

func encodeBody(b Body) (json.RawMessage, error) {
	batch, ok := b.(Batch)
	if !ok {
		data, err := json.Marshal(b)
		return data, errors.Wrapf(err, "encode %s", b.Kind())
	}
	items := make([]batchItem, 0, len(batch.Items))
	for _, item := range batch.Items {
		data, err := json.Marshal(item.Body)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", item.Body.Kind())
		}
		items = append(items, batchItem{Kind: item.Body.Kind(), ExpectedRevision: item.ExpectedRevision, Body: data})
	}
	data, err := json.Marshal(items)
	return data, errors.Wrap(err, "encode batch")
}

// Decode parses a log entry. It returns ErrMalformed for bytes that are not a
// record, and ErrUnsupported for a record with a newer schema or an unknown kind.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxSize {
		return Record{}, errors.Wrapf(ErrMalformed, "%d bytes, limit %d", len(data), MaxSize)
	}
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, errors.Wrapf(ErrMalformed, "envelope: %v", err)
	}
	if e.Schema > Schema+maxSchemaLead || !plausibleKind(e.Kind) {
		return Record{}, errors.Wrapf(ErrMalformed, "schema %d, kind %.64q", e.Schema, string(e.Kind))
	}
	if e.Schema > Schema {
		return Record{}, errors.Wrapf(ErrUnsupported, "schema %d, newest known %d", e.Schema, Schema)
	}
	if e.Schema < 1 || e.ID == "" || e.Kind == "" {
		return Record{}, errors.Wrap(ErrMalformed, "schema, id or kind is missing")
	}
	body, err := decodeBody(e.Kind, e.Body)
	if err != nil {
		return Record{}, err
	}
	return Record{ID: e.ID, Author: e.Author, Base: e.Base, ExpectedRevision: e.ExpectedRevision, Epoch: e.Epoch, Body: body}, nil
}

func decodeBody(kind Kind, data json.RawMessage) (Body, error) {
	if kind == KindBatch {
		return decodeBatch(data)
	}
	decode, ok := decoders[kind]
	if !ok && !plausibleKind(kind) {
		return nil, errors.Wrapf(ErrMalformed, "kind %.64q", string(kind))
	}
	if !ok {
		return nil, errors.Wrapf(ErrUnsupported, "kind %q", string(kind))
	}
	body, err := decode(data)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%s: %v", kind, err)
	}
	return body, nil
}

func decodeBatch(data json.RawMessage) (Body, error) {
	var items []batchItem
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "batch: %v", err)
	}
	if len(items) == 0 {
		return nil, errors.Wrap(ErrMalformed, "batch is empty")
	}
	batch := Batch{Items: make([]BatchItem, 0, len(items))}
	for _, item := range items {
		if item.Kind == KindBatch {
			return nil, errors.Wrap(ErrMalformed, "batch inside a batch")
		}
		body, err := decodeBody(item.Kind, item.Body)
		if err != nil {
			return nil, err
		}
		batch.Items = append(batch.Items, BatchItem{ExpectedRevision: item.ExpectedRevision, Body: body})
	}
	return batch, nil
}

const (
	// maxSchemaLead is by how much the schema of a newer binary may exceed Schema.
	maxSchemaLead = 100
	// maxKindLength limits the name of a kind in bytes.
	maxKindLength = 64
)

// plausibleKind reports whether a newer binary may have a kind of that name: an entry that no
// binary writes must not stop all nodes.
func plausibleKind(k Kind) bool {
	if len(k) > maxKindLength {
		return false
	}
	for _, r := range k {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// decoders holds the body decoder of each kind except KindBatch.
var decoders = map[Kind]func(json.RawMessage) (Body, error){
	KindPutService:      decoderOf[PutService],
	KindDeleteService:   decoderOf[DeleteService],
	KindPutVersion:      decoderOf[PutVersion],
	KindDeleteVersion:   decoderOf[DeleteVersion],
	KindPutRoute:        decoderOf[PutRoute],
	KindDeleteRoute:     decoderOf[DeleteRoute],
	KindStartRollout:    decoderOf[StartRollout],
	KindPauseRollout:    decoderOf[PauseRollout],
	KindResumeRollout:   decoderOf[ResumeRollout],
	KindRollBackRollout: decoderOf[RollBackRollout],
	KindClaimRollout:    decoderOf[ClaimRollout],
	KindStepRollout:     decoderOf[StepRollout],
	KindRolloutVerdict:  decoderOf[RolloutVerdict],
	KindCompleteRollout: decoderOf[CompleteRollout],
	KindClaimKeySlot:    decoderOf[ClaimKeySlot],
	KindRenewKeySlots:   decoderOf[RenewKeySlots],
	KindReleaseKeySlots: decoderOf[ReleaseKeySlots],
	KindNodeAnnounced:   decoderOf[NodeAnnounced],
}

func decoderOf[T Body](data json.RawMessage) (Body, error) {
	var body T
	// Reject unknown fields: dropping them would make the state diverge from that
	// of newer nodes.
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return nil, err
	}
	return body, nil
}
