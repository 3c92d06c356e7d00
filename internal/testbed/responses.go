package testbed

import "strings"

// ResponseBody is the body of the well-formed responses.
const ResponseBody = "whole!"

// MalformedStatuses returns raw responses whose status line is malformed, by name. fields are
// further header lines, each with its end.
func MalformedStatuses(fields string) map[string]string {
	framed := fields + "Content-Length: 6\r\n\r\n" + ResponseBody
	out := map[string]string{
		"000 before a proper response": "HTTP/1.1 000 Zero\r\n" + fields + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"101 before a proper response": "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "101", "+99", "-00", "-20", "20", "2000", "0200", "2x0", "OK", ""} {
		out["status "+status] = "HTTP/1.1 " + status + " Reason\r\n" + framed
	}
	return out
}

// MalformedFields returns raw responses with a malformed header or trailer field, by name. Those with
// trailers send the whole body before.
func MalformedFields(fields string) map[string]string {
	out := map[string]string{}
	chunked := "6\r\n" + ResponseBody + "\r\n0\r\n"
	for name, field := range map[string]string{
		"blank before the colon": "X-Own : v", "blank inside": "X Own: v", "tab before the colon": "X-Own\t: v", "tab inside": "X\tOwn: v",
		"zero byte": "X\x00Own: v", "control byte": "X\x01Own: v", "delete byte": "X\x7fOwn: v", "carriage return": "X\rOwn: v", "no name": ": v",
		"no colon": "X-Own", "letter beyond ASCII": "X-\xe4: v", "bracket": "X(Own): v",
		"zero byte in the value": "X-Own: a\x00b", "control byte in the value": "X-Own: a\x01b", "carriage return in the value": "X-Own: a\rb",
	} {
		out[name] = "HTTP/1.1 200 OK\r\n" + fields + field + "\r\nContent-Length: 6\r\n\r\n" + ResponseBody
		out[name+", interim"] = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\n" + ResponseBody
		out[name+", trailer"] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked + "X-Sum: 1\r\n" + field + "\r\n\r\n"
	}
	out["length with a blank, longer"] = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 3\r\nConnection: close\r\n\r\n" + ResponseBody
	out["length with a blank, beside one"] = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 3\r\nContent-Length: 6\r\n\r\n" + ResponseBody
	out["coding with a blank"] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\nConnection: close\r\n\r\n" + chunked + "\r\n"
	out["coding with a blank, beside a length"] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\nContent-Length: 16\r\n\r\n" + chunked + "\r\n"
	return out
}

// WellFormedResponses returns raw responses that are unusual but proper, with ResponseBody, by name.
func WellFormedResponses(fields string) map[string]string {
	framed := fields + "Content-Length: 6\r\n\r\n" + ResponseBody
	out := map[string]string{
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
		"trailers":          "HTTP/1.1 200 OK\r\n" + fields + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + ResponseBody + "\r\n0\r\nX-Sum: 1\r\n\r\n",
		"no reason":         "HTTP/1.1 200 \r\n" + framed,
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + framed,
		"only line feeds":   strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+framed, "\r\n", "\n"),
		"names in odd case": "HTTP/1.1 200 OK\r\n" + fields + "cOnTeNt-LeNgTh: 6\r\nx-oDD: v\r\n\r\n" + ResponseBody,
		"length twice":      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + framed,
		"unusual names":     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: v\r\n_: v\r\n" + framed,
		"unusual values":    "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Blanks:  a \tb \t\r\nX-Bytes: \xe4\xff\r\nX-Folded: a\r\n b\r\n" + framed,
	}
	for _, status := range []string{"201", "299", "418", "599"} {
		out["status "+status] = "HTTP/1.1 " + status + " Reason\r\n" + framed
	}
	return out
}
