// Package httpresponse reads responses of HTTP/1.0 and HTTP/1.1 by the grammar of RFC 9112,
// without leniency, and returns them as checked parts.
//
// net/http's reader accepts names with blanks, folded lines, LF without CR, statuses from 000
// to 999, more than one way to frame a body, and codings in HTTP/1.0. What it makes of them
// may differ from what the server meant, or from what the next reader makes of them. This
// reader returns ErrMalformed instead:
//
//   - The status has three digits and is from 100 to 599. 101 is refused, since no request
//     asks for another protocol; other informational responses are skipped and counted.
//   - Names are tokens. Values have no control bytes but tabs. Lines end with CR LF.
//   - Neither a reason nor a value contains a status line: the head of a response that broke
//     off is continued by the next one.
//   - A body has one length, or the coding "chunked" alone, or ends with the connection.
//   - Chunk sizes are hexadecimal digits. Trailers are checked like the header and dropped.
//   - The head, its lines and the trailers are limited.
//
// It never reads beyond the response, apart from what the reader has buffered.
package httpresponse
