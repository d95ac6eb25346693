// Package httpresponsetest has HTTP/1.1 responses that a client must not accept.
package httpresponsetest

import "strings"

// Case is one response.
type Case struct {
	Name string
	// Response is the whole response, as a server writes it before it closes its
	// connection.
	Response string
}

const (
	success = "HTTP/1.1 200 OK\r\n"
	length  = "Content-Length: 5\r\n"
	chunked = "Transfer-Encoding: chunked\r\n"
	end     = "\r\n"
	body    = "whole"
	chunks  = "5\r\nwhole\r\n0\r\n\r\n"
)

// Malformed returns responses whose head, chunks or trailers RFC 9112 doesn't allow, or
// whose framing contradicts itself. Each has the given header lines, which end with CR LF.
func Malformed(lines string) []Case {
	return append(malformedHeads(lines), malformedChunks(lines)...)
}

func malformedHeads(lines string) []Case {
	field := func(text string) string { return success + lines + text + length + end + body }
	status := func(text string) string { return text + lines + length + end + body }
	bare := strings.ReplaceAll(lines, "\r\n", "\n")
	return []Case{
		{"blank inside a name", field("X Y: z\r\n")},
		{"blank after a name", field("X-Y : z\r\n")},
		{"tab after a name", field("X-Y\t: z\r\n")},
		{"blank after the name of the length", success + lines + "Content-Length : 5\r\n" + end + body},
		{"blank after the name of the coding", success + lines + "Transfer-Encoding : chunked\r\n" + end + chunks},
		{"blank before a name", success + lines + length + " X-Y: z\r\n" + end + body},
		{"first line folded", success + " X-Y: z\r\n" + lines + length + end + body},
		{"folded line", field("X-Y: a\r\n b\r\n")},
		{"folded line with a tab", field("X-Y: a\r\n\tb\r\n")},
		{"folded length", success + lines + "Content-Length: 5\r\n 0\r\n" + end + body},
		{"empty name", field(": z\r\n")},
		{"no colon", field("X-Y\r\n")},
		{"control byte in a name", field("X\x01Y: z\r\n")},
		{"NUL in a name", field("X\x00Y: z\r\n")},
		{"DEL in a name", field("X\x7fY: z\r\n")},
		{"CR in a name", field("X\rY: z\r\n")},
		{"separator in a name", field("X(Y): z\r\n")},
		{"byte beyond ASCII in a name", field("X\xc3\xa4: z\r\n")},
		{"NUL in a value", field("X-Y: a\x00b\r\n")},
		{"control byte in a value", field("X-Y: a\x01b\r\n")},
		{"escape in a value", field("X-Y: a\x1bb\r\n")},
		{"DEL in a value", field("X-Y: a\x7fb\r\n")},
		{"CR in a value", field("X-Y: a\rb\r\n")},
		{"status line in a value", field("X-Y: aHTTP/1.1 200 OK\r\n")},
		{"status line in a value, without a reason", field("X-Y: HTTP/1.1 200 \r\n")},
		{"status line in an informational value", "HTTP/1.1 103 Early Hints\r\nX-Y: a" + success + end + success + lines + length + end + body},
		{"CR twice at the end of a line", field("X-Y: a\r\r\n")},
		{"LF at the end of a line", field("X-Y: z\n")},
		{"LF at the end of the head", success + lines + length + "\n" + body},
		{"LF at the end of the status line", "HTTP/1.1 200 OK\n" + lines + length + end + body},
		{"LF at the end of all lines", "HTTP/1.1 200 OK\n" + bare + "Content-Length: 5\n\n" + body},
		{"two lengths", field("Content-Length: 3\r\n")},
		{"two equal lengths", field(length)},
		{"list of lengths", success + lines + "Content-Length: 5, 5\r\n" + end + body},
		{"length with a sign", success + lines + "Content-Length: +5\r\n" + end + body},
		{"negative length", success + lines + "Content-Length: -5\r\n" + end + body},
		{"hexadecimal length", success + lines + "Content-Length: 0x5\r\n" + end + body},
		{"empty length", success + lines + "Content-Length:\r\n" + end + body},
		{"length beyond 63 bits", success + lines + "Content-Length: 18446744073709551621\r\n" + end + body},
		{"length beside chunks", success + lines + length + chunked + end + chunks},
		{"unknown coding", success + lines + "Transfer-Encoding: gzip\r\n" + end + body},
		{"coding before the chunks", success + lines + "Transfer-Encoding: gzip, chunked\r\n" + end + chunks},
		{"chunks twice", success + lines + chunked + chunked + end + chunks},
		{"coding identity", success + lines + "Transfer-Encoding: identity\r\n" + end + body},
		{"empty coding", success + lines + "Transfer-Encoding:\r\n" + end + body},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + lines + chunked + end + chunks},
		{"status 000", status("HTTP/1.1 000 Unknown\r\n")},
		{"status 000 before a response", "HTTP/1.1 000 Unknown\r\n" + lines + "Content-Length: 0\r\n" + end + success + lines + length + end + body},
		{"status 099", status("HTTP/1.1 099 Unknown\r\n")},
		{"status 600", status("HTTP/1.1 600 Unknown\r\n")},
		{"status 999", status("HTTP/1.1 999 Unknown\r\n")},
		{"status of two digits", status("HTTP/1.1 20 OK\r\n")},
		{"status of four digits", status("HTTP/1.1 2000 OK\r\n")},
		{"status with a sign", status("HTTP/1.1 +20 OK\r\n")},
		{"negative status", status("HTTP/1.1 -20 OK\r\n")},
		{"status that is no number", status("HTTP/1.1 2x0 OK\r\n")},
		{"status after two blanks", status("HTTP/1.1  200 OK\r\n")},
		{"status after a tab", status("HTTP/1.1\t200 OK\r\n")},
		{"no status", status("HTTP/1.1\r\n")},
		{"no blank after the status", status("HTTP/1.1 200\r\n")},
		{"switched protocols", "HTTP/1.1 101 Switching Protocols\r\n" + lines + "Connection: upgrade\r\nUpgrade: x\r\n" + end + body},
		{"informational with a length", "HTTP/1.1 103 Early Hints\r\n" + length + end + success + lines + length + end + body},
		{"informational in HTTP/1.0", "HTTP/1.0 103 Early Hints\r\n" + end + success + lines + length + end + body},
		{"malformed informational", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n" + end + success + lines + length + end + body},
		{"informational without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+end, 100) + success + lines + length + end + body},
		{"no content with a length", "HTTP/1.1 204 No Content\r\n" + lines + length + end},
		{"version 1.2", status("HTTP/1.2 200 OK\r\n")},
		{"version 2.0", status("HTTP/2.0 200 OK\r\n")},
		{"version 0.9", status("HTTP/0.9 200 OK\r\n")},
		{"version of two digits", status("HTTP/1.10 200 OK\r\n")},
		{"version without minor", status("HTTP/1 200 OK\r\n")},
		{"version in lower case", status("http/1.1 200 OK\r\n")},
		{"other protocol", status("ICY 200 OK\r\n")},
		{"blank before the status line", status(" HTTP/1.1 200 OK\r\n")},
		{"empty line before the status line", status("\r\nHTTP/1.1 200 OK\r\n")},
		{"NUL in the reason", status("HTTP/1.1 200 O\x00K\r\n")},
		{"control byte in the reason", status("HTTP/1.1 200 O\x01K\r\n")},
		{"status line in the reason", status("HTTP/1.1 421 MisdirectedHTTP/1.1 200 OK\r\n")},
		{"CR in the reason", status("HTTP/1.1 200 O\rK\r\n")},
		{"many lines", field(strings.Repeat("X-Y: z\r\n", 5000))},
		{"large head", field("X-Y: " + strings.Repeat("z", 300<<10) + "\r\n")},
	}
}

func malformedChunks(lines string) []Case {
	response := func(text string) string { return success + lines + chunked + end + text }
	trailer := func(text string) string { return response("5\r\nwhole\r\n0\r\n" + text + "\r\n") }
	return []Case{
		{"chunk size with a sign", response("+5\r\nwhole\r\n0\r\n\r\n")},
		{"negative chunk size", response("-5\r\nwhole\r\n0\r\n\r\n")},
		{"blank before a chunk size", response(" 5\r\nwhole\r\n0\r\n\r\n")},
		{"blank after a chunk size", response("5 \r\nwhole\r\n0\r\n\r\n")},
		{"tab after a chunk size", response("5\t\r\nwhole\r\n0\r\n\r\n")},
		{"chunk size with a prefix", response("0x5\r\nwhole\r\n0\r\n\r\n")},
		{"empty chunk size", response("\r\nwhole\r\n0\r\n\r\n")},
		{"chunk size of letters", response("five\r\nwhole\r\n0\r\n\r\n")},
		{"chunk size beyond 63 bits", response("10000000000000005\r\nwhole\r\n0\r\n\r\n")},
		{"control byte in a chunk extension", response("5;a=\x01\r\nwhole\r\n0\r\n\r\n")},
		{"chunk extension without a name", response("5;\r\nwhole\r\n0\r\n\r\n")},
		{"LF after a chunk size", response("5\nwhole\r\n0\r\n\r\n")},
		{"LF after a chunk", response("5\r\nwhole\n0\r\n\r\n")},
		{"bytes after a chunk", response("5\r\nwholewhole\r\n0\r\n\r\n")},
		{"LF after the last chunk", response("5\r\nwhole\r\n0\n\r\n")},
		{"LF at the end of the trailers", response("5\r\nwhole\r\n0\r\n\n")},
		{"blank inside the name of a trailer", trailer("X Y: z\r\n")},
		{"blank after the name of a trailer", trailer("X-Y : z\r\n")},
		{"empty name of a trailer", trailer(": z\r\n")},
		{"trailer without a colon", trailer("X-Y\r\n")},
		{"control byte in the name of a trailer", trailer("X\x01Y: z\r\n")},
		{"NUL in a trailer", trailer("X-Y: a\x00b\r\n")},
		{"status line in a trailer", trailer("X-Y: aHTTP/1.1 200 OK\r\n")},
		{"folded trailer", trailer("X-Y: a\r\n b\r\n")},
		{"LF at the end of a trailer", trailer("X-Y: z\n")},
		{"many trailers", trailer(strings.Repeat("X-Y: z\r\n", 5000))},
		{"large trailer", trailer("X-Y: " + strings.Repeat("z", 300<<10) + "\r\n")},
	}
}
