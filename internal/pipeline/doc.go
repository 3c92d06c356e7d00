// Package pipeline serves HTTP/1.1 requests that a client sends on a connection before
// the earlier ones are answered. The net/http server reads the next request only after
// the last response, so that a slow response delays those behind it.
//
// The net/http server accepts the connections and serves them until a request arrives
// behind one without a response. Only then the connection is taken over: its requests are
// read ahead up to a limit, run concurrently, and are answered in the order of arrival.
//
// A request behind a response that closes the connection counts as not read, and the
// client sends it again. A request that must not run twice is therefore started only when
// all responses before it are written, and a connection closes only after the responses to
// all requests that were started.
package pipeline
