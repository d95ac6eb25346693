package backendserver

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// HeaderSpoil is the header of a request with its Spoil, in JSON.
const HeaderSpoil = "Standin-Spoil"

// SpoilKind is a way in which a server's response is wrong.
type SpoilKind string

// The kinds.
const (
	// SpoilStatus sends a status that isn't one, before a whole response.
	SpoilStatus SpoilKind = "status"
	// SpoilField sends a malformed line in the header of a whole response, SpoilTrailer one
	// in its trailer.
	SpoilField   SpoilKind = "field"
	SpoilTrailer SpoilKind = "trailer"
	// SpoilHeader breaks off inside the header, SpoilLost before it.
	SpoilHeader SpoilKind = "header"
	SpoilLost   SpoilKind = "lost"
	// SpoilUnpromised runs a request and responds with a status that would promise to a
	// caller that it hasn't run, and says nothing of that.
	SpoilUnpromised SpoilKind = "unpromised"
	// SpoilExtra sends a rejection after the whole response, SpoilExtraNext where the next
	// response is expected, SpoilExtraCut only the first part of it there.
	SpoilExtra     SpoilKind = "extra"
	SpoilExtraNext SpoilKind = "extra next"
	SpoilExtraCut  SpoilKind = "extra cut"
	// SpoilExtraTorn is SpoilExtraCut with a rejection that is cut where the response behind
	// it still makes a legal header of it.
	SpoilExtraTorn SpoilKind = "extra torn"
	// SpoilEarly responds before the request is read and reads on. It spoils nothing.
	SpoilEarly SpoilKind = "early"
	// SpoilEarlyReset sends half of a response without a length before the request is read,
	// and resets the connection.
	SpoilEarlyReset SpoilKind = "early reset"
)

// Spoil is how a server spoils its response to one request.
type Spoil struct {
	Kind SpoilKind `json:"kind"`
	// Variant selects the status, the line or the place of the cut.
	Variant int `json:"variant"`
	// Percent is the share of the servers that spoil the response to a request.
	Percent int `json:"percent"`
	// WaitMicros is the time before a reset, in microseconds.
	WaitMicros int `json:"waitMicros"`
}

// AppliesAt reports whether a server spoils its response to a request.
func (p *Spoil) AppliesAt(requestID, serverID string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, requestID+" "+serverID)
	return int(h.Sum32()%100) < p.Percent
}

// SpoiltStatuses are status lines without their protocol that no response has.
var SpoiltStatuses = []string{"000 Trouble", "099 Trouble", "600 Trouble", "999 Trouble", "0200 OK", "2000 OK", "20 OK", "+20 OK", "-20 OK"}

// SpoiltFields are malformed lines of a header.
var SpoiltFields = []string{
	"X Fault: 1", "X-Fault : 1", "X\tFault: 1", "X\x01Fault: 1", "X\x00Fault: 1", "X\x7fFault: 1", "X\x80Fault: 1",
	": 1", "X-Fault", "X(Fault): 1", "X-Fault: a\x00b", "X-Fault: a\rb", "X-Fault: a\x01b",
}

// SpoiltFramings are malformed lines about the length of a response.
var SpoiltFramings = []string{
	"Transfer-Encoding : chunked", "Transfer\tEncoding: chunked", "Content-Length : 5", "Content-Length: +5", "Content-Length: 5, 6",
}

// unpromisedStatuses are status lines that promise to callers that a request hasn't run,
// and say nothing of that where a server sends them.
var unpromisedStatuses = []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"}

// spoilOf returns how the server spoils its response to a request; nil if it doesn't.
func (s *Server) spoilOf(r *http.Request) *Spoil {
	value := r.Header.Get(HeaderSpoil)
	if value == "" {
		return nil
	}
	spoil := &Spoil{}
	if err := json.Unmarshal([]byte(value), spoil); err != nil {
		return nil
	}
	if !spoil.AppliesAt(r.Header.Get(HeaderRequestID), s.options.ID) {
		return nil
	}
	return spoil
}

// respondSpoiltEarly responds to a request whose body isn't read, and reports whether it did.
func (s *Server) respondSpoiltEarly(w http.ResponseWriter, r *http.Request, id string) bool {
	spoil, plan := s.spoilOf(r), s.planOf(r)
	if spoil == nil || plan == nil || id == "" || (spoil.Kind != SpoilEarly && spoil.Kind != SpoilEarlyReset) {
		return false
	}
	if status := s.refusalStatus(r); status != 0 {
		s.refuse(w, r, id, status)
		return true
	}
	run := Run{ID: id, Method: r.Method, Path: r.URL.RequestURI(), Model: r.Header.Get(HeaderModel), At: time.Now(), Ran: true, Early: true}
	s.recordRun(run)
	if s.options.OnRun != nil {
		s.options.OnRun(run)
	}
	if spoil.Kind == SpoilEarlyReset {
		s.resetEarly(w, r, id, plan, spoil)
		return true
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderSeal, Seal(id))
	s.respondPlanned(w, r, id, &Plan{Framing: FramingLength, Events: plan.Events, PieceBytes: plan.PieceBytes})
	time.Sleep(time.Duration(spoil.WaitMicros) * time.Microsecond)
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// resetEarly sends half of a response that has no length, and resets the connection.
func (s *Server) resetEarly(w http.ResponseWriter, r *http.Request, id string, plan *Plan, spoil *Spoil) {
	body := strings.Join(plan.Pieces(id, r.URL.Path), "")
	s.sendRaw(w, s.rawHeader(r, id, "200 OK")+"\r\n"+body[:len(body)/2], time.Duration(spoil.WaitMicros)*time.Microsecond, true)
}

// respondSpoilt sends a spoilt response to a request that ran, and reports whether it did.
// It leaves a response with an extra one to be sent as others.
func (s *Server) respondSpoilt(w http.ResponseWriter, r *http.Request, id string) bool {
	spoil, plan := s.spoilOf(r), s.planOf(r)
	if spoil == nil || plan == nil {
		return false
	}
	body := strings.Join(plan.Pieces(id, r.URL.Path), "")
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	wait := time.Duration(spoil.WaitMicros) * time.Microsecond
	httpapi.Sleep(r.Context(), wait)
	raw := ""
	switch spoil.Kind {
	case SpoilStatus:
		raw = s.rawHeader(r, id, pick(SpoiltStatuses, spoil)) + length + "\r\n" + body
	case SpoilField:
		raw = s.rawSpoiltField(r, id, spoil, body)
	case SpoilTrailer:
		raw = s.rawHeader(r, id, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n" + rawChunks(body) + "0\r\n" + pick(SpoiltFields, spoil) + "\r\n\r\n"
	case SpoilHeader:
		raw = s.rawHeader(r, id, "200 OK") + length + "\r\n"
		raw = raw[:1+spoil.Variant%(len(raw)-2)]
	case SpoilLost:
	case SpoilUnpromised:
		raw = s.rawHeader(r, id, pick(unpromisedStatuses, spoil)) + "Content-Length: 0\r\n\r\n"
	case SpoilExtra, SpoilExtraNext, SpoilExtraCut, SpoilExtraTorn:
		addExtra(r, id, spoil)
		return false
	default:
		return false
	}
	s.sendRaw(w, raw, wait, spoil.Variant%2 == 0 && (spoil.Kind == SpoilLost || spoil.Kind == SpoilHeader))
	return true
}

func pick(from []string, spoil *Spoil) string { return from[spoil.Variant%len(from)] }

// Line returns the malformed line of the response; empty if it has none.
func (p *Spoil) Line() string {
	switch p.Kind {
	case SpoilField:
		return pick(append(slices.Clone(SpoiltFields), SpoiltFramings...), p)
	case SpoilTrailer:
		return "in the trailer: " + pick(SpoiltFields, p)
	default:
		return ""
	}
}

// rawSpoiltField returns a response with a malformed line in its header.
func (s *Server) rawSpoiltField(r *http.Request, id string, spoil *Spoil, body string) string {
	line := spoil.Line()
	header := s.rawHeader(r, id, "200 OK") + line + "\r\n"
	switch {
	case strings.HasSuffix(line, "chunked"):
		return header + "\r\n" + rawChunks(body) + "0\r\n\r\n"
	case strings.HasPrefix(line, "Content-Length"):
		return header + "\r\n" + body
	default:
		return header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	}
}

// rawHeader returns the header of a response up to the fields about its length.
func (s *Server) rawHeader(r *http.Request, id, status string) string {
	header := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n", status, HeaderRequestID, id, HeaderSeal, Seal(id), HeaderServer, s.options.ID)
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		header += "Content-Type: " + eventStreamType + "\r\n"
	}
	return header
}

func rawChunks(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// sendRaw sends bytes and ends the connection after a time, in order or with a reset.
func (s *Server) sendRaw(w http.ResponseWriter, raw string, wait time.Duration, reset bool) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		httpapi.Abort()
	}
	_, _ = buffered.WriteString(raw)
	_ = buffered.Flush()
	time.Sleep(wait)
	if reset {
		resetOnClose(conn)
	}
	_ = conn.Close()
}

// resetOnClose has a connection reset when it is closed.
func resetOnClose(conn net.Conn) {
	if wrapped, ok := conn.(*copyConn); ok {
		conn = wrapped.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// addExtra has an extra rejection of a request follow its response.
func addExtra(r *http.Request, id string, spoil *Spoil) {
	conn, ok := r.Context().Value(copyConnKey{}).(*copyConn)
	if !ok {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	raw := rawRejection(id, http.StatusServiceUnavailable)
	switch spoil.Kind {
	case SpoilExtraCut:
		raw = raw[:1+spoil.Variant%(len(raw)-2)]
	case SpoilExtraTorn:
		raw = tornRejection(id, spoil.Variant)
	}
	conn.pending = raw
	conn.atOnce = spoil.Kind == SpoilExtra
}

// tornRejection returns the first part of a rejection up to the middle of its status line's
// reason, of the request's ID, or of the value of a field before that.
func tornRejection(id string, variant int) []byte {
	const unavailable = "HTTP/1.1 503 Service Unavailable\r\n"
	var text, last string
	switch variant % 3 {
	case 0:
		text, last = "HTTP/1.1 421 Misdirected Request", "Misdirected Request"
	case 1:
		text, last = unavailable+HeaderRequestID+": "+id, id
	default:
		last = "application/json"
		text = fmt.Sprintf("%s%s: 1\r\nContent-Type: %s", unavailable, HeaderNotRun, last)
	}
	return []byte(text[:len(text)-1-variant/3%len(last)])
}
