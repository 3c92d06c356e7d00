package bench

import (
	"encoding/json"
	"fmt"

	"heathercroft.example/heathercroft/internal/core"
)

// Sizes around the parameters of a message between nodes, as the jsonrpc2
// library writes them with varint framing.
const (
	// requestBytes is {"method":"","params":,"id":1234,"jsonrpc":"2.0"} and its length.
	requestBytes = 50 + 2
	// answerBytes is {"id":1234,"result":{},"jsonrpc":"2.0"} and its length.
	answerBytes = 39 + 1
	// appendBytes is the HTTP request and answer around an appended record.
	appendBytes = 330
	// readBytes is the HTTP request and answer of a read without entries.
	readBytes = 360
	// entryBytes is what a page of the log adds to the data of an entry.
	entryBytes = 50
)

// messageBytes is the size of a message on the wire without TCP and IP headers.
func messageBytes(s core.Send) int {
	data, err := json.Marshal(s.Params)
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", s.Method, err))
	}
	return len(data) + len(s.Method) + requestBytes
}

func pageBytes(entries [][]byte) int {
	total := readBytes
	for _, e := range entries {
		total += len(e)*4/3 + entryBytes
	}
	return total
}
