package backendserver

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// isEarly reports whether a request is answered before its body is read.
func (s *Server) isEarly(r *http.Request) bool {
	plan := s.planOf(r)
	return plan != nil && plan.Early
}

// respondEarly sends a part of a response to a request whose body it doesn't read, waits and
// ends the connection as the plan says.
func (s *Server) respondEarly(w http.ResponseWriter, r *http.Request, id string) {
	plan := s.planOf(r)
	change := s.recordRun(Run{ID: id, Method: r.Method, Path: r.URL.RequestURI(), At: time.Now()})
	change(func(run *Run) { run.Ran = true })
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		httpapi.Abort()
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, s.earlyResponse(r, id, plan)); err != nil {
		return
	}
	time.Sleep(time.Duration(plan.GapMillis) * time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok && plan.Stop == StopReset {
		_ = tcp.SetLinger(0)
	}
}

// earlyResponse returns the head and the first pieces of an unframed response.
func (s *Server) earlyResponse(r *http.Request, id string, plan *Plan) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := []string{"HTTP/1.1 200 OK", HeaderRequestID + ": " + id, HeaderSeal + ": " + Seal(id), HeaderServer + ": " + s.id}
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		head = append(head, "Content-Type: "+eventStreamType)
	}
	return strings.Join(head, "\r\n") + "\r\n\r\n" + strings.Join(plan.Pieces(id, r.URL.Path)[:plan.StopAfter], "")
}
