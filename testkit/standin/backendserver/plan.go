package backendserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

const (
	// HeaderPlan is the header of a request with its Plan, in JSON.
	HeaderPlan = "Standin-Plan"
	// HeaderServer names the server in a planned response.
	HeaderServer = "Standin-Server"
)

// plainPieces is the number of pieces in which a planned plain response is sent.
const plainPieces = 10

// softwareMark precedes the version of the software in an event.
const softwareMark = " at "

const eventStreamType = "text/event-stream"

// Framing is what marks the end of a response.
type Framing string

// The framings. FramingConnection is neither a length nor chunks.
const (
	FramingChunks     Framing = "chunks"
	FramingLength     Framing = "length"
	FramingConnection Framing = "connection"
)

// Stop is what happens in the middle of a response.
type Stop string

// The kinds of stop.
const (
	// StopNone sends the whole response.
	StopNone Stop = ""
	// StopStall sends nothing more until the response is released or the server shuts
	// down, and then the rest.
	StopStall Stop = "stall"
	// StopClose closes the connection in order, without the response's end.
	StopClose Stop = "close"
	// StopReset resets the connection.
	StopReset Stop = "reset"
)

// Plan is how a server responds to one request.
type Plan struct {
	Framing Framing `json:"framing"`
	// Events is the number of events of a stream, PieceBytes the size of each event's
	// padding, or of each of the ten pieces of a plain response.
	Events     int `json:"events"`
	PieceBytes int `json:"pieceBytes"`
	// DelayMillis is the time before the response, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// GapMillis is the time between two pieces, in milliseconds.
	GapMillis int `json:"gapMillis"`
	// Stop happens after StopAfter pieces, and half of the next one if Inside is set.
	// It happens to a stream that is resumed only if StopResumed is set.
	Stop      Stop `json:"stop"`
	StopAfter int  `json:"stopAfter"`
	Inside    bool `json:"inside"`
	// StopResumed lets a stream that is resumed stop after StopAfter further pieces.
	StopResumed bool `json:"stopResumed"`
	// Resume is the response to a request that resumes a stream; nil for the rest of
	// the stream.
	Resume *Resume `json:"resume"`
	// Early lets the server respond to a request whose body it doesn't read, and stop after
	// StopAfter pieces and GapMillis. The response has no framing.
	Early bool `json:"early"`
	// Software is the version that the events name; empty for none. The server sets it.
	Software string `json:"-"`
}

// Resume is the response to a request that resumes a stream.
type Resume struct {
	// Status is the response's status; 200 if it is zero. Other responses than 200 have
	// a JSON body.
	Status int `json:"status"`
	// NotRun is set on a refusal that says that the request has not run.
	NotRun bool `json:"notRun"`
	// ContentType is that of a response with status 200; empty for events. A response
	// of another type has no events.
	ContentType string `json:"contentType"`
	// Compressed is set on a response with a Content-Encoding.
	Compressed bool    `json:"compressed"`
	Framing    Framing `json:"framing"`
	// Skip is the number of events that are left out; a negative one repeats events.
	Skip int `json:"skip"`
}

// Event returns one event of the stream for a request.
func (p *Plan) Event(requestID string, number int) string {
	text := fmt.Sprintf("%s %d of %d", requestID, number, p.Events)
	if p.Software != "" {
		text += softwareMark + p.Software
	}
	return fmt.Sprintf("id: %d\ndata: %s%s\n\n", number, text, strings.Repeat(".", p.PieceBytes))
}

// Pieces returns the pieces of the complete response to a request.
func (p *Plan) Pieces(requestID, path string) []string {
	if strings.HasPrefix(path, StreamPath) {
		return p.events(requestID, 1)
	}
	pieces := make([]string, plainPieces)
	for i := range pieces {
		pieces[i] = fmt.Sprintf("%s %d of %d%s\n", requestID, i+1, plainPieces, strings.Repeat(".", p.PieceBytes))
	}
	return pieces
}

func (p *Plan) events(requestID string, first int) []string {
	events := []string{}
	for number := first; number <= p.Events; number++ {
		events = append(events, p.Event(requestID, number))
	}
	return events
}

// planOf returns the plan that a request names, or nil.
func (s *Server) planOf(r *http.Request) *Plan {
	value := r.Header.Get(HeaderPlan)
	if value == "" {
		return nil
	}
	plan := &Plan{}
	if err := json.Unmarshal([]byte(value), plan); err != nil {
		return nil
	}
	plan.Software = s.options.Software
	return plan
}

// respondPlanned sends the response that a plan describes.
func (s *Server) respondPlanned(w http.ResponseWriter, r *http.Request, id string, plan *Plan) {
	s.mu.Lock()
	w.Header().Set(HeaderServer, s.id)
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, StreamPath) {
		w.Header().Set("Content-Type", eventStreamType)
	}
	if !httpapi.Sleep(r.Context(), time.Duration(plan.DelayMillis)*time.Millisecond) {
		respondOverdue(w, r)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	switch {
	case err != nil:
		s.sendPieces(w, r, id, plan, plan.Pieces(id, r.URL.Path))
	case plan.StopResumed:
		s.sendPieces(w, r, id, plan, plan.events(id, after+1))
	case plan.Resume == nil:
		s.sendPieces(w, r, id, &Plan{Framing: plan.Framing, GapMillis: plan.GapMillis}, plan.events(id, after+1))
	default:
		s.respondToResume(w, r, id, plan, after)
	}
}

// respondToResume responds to a request that resumes a stream after an event.
func (s *Server) respondToResume(w http.ResponseWriter, r *http.Request, id string, plan *Plan, after int) {
	resume := plan.Resume
	if resume.Status != 0 && resume.Status != http.StatusOK {
		respondError(w, resume)
		return
	}
	pieces := plan.events(id, max(after+1+resume.Skip, 1))
	if resume.ContentType != "" {
		w.Header().Set("Content-Type", resume.ContentType)
		pieces = []string{"no events\n", "of any kind\n"}
	}
	if resume.Compressed {
		w.Header().Set("Content-Encoding", "gzip")
		pieces = []string{compress(strings.Join(pieces, ""))}
	}
	s.sendPieces(w, r, id, &Plan{Framing: resume.Framing, GapMillis: plan.GapMillis}, pieces)
}

func respondError(w http.ResponseWriter, resume *Resume) {
	if resume.NotRun {
		w.Header().Set(HeaderNotRun, "1")
	}
	if resume.Status == http.StatusFound {
		w.Header().Set("Location", "/elsewhere")
	}
	w.Header().Del("Content-Type")
	if resume.Status == http.StatusNoContent {
		w.WriteHeader(resume.Status)
		return
	}
	httpapi.WriteError(w, resume.Status, "not resumed")
}

func compress(text string) string {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	_, _ = io.WriteString(writer, text)
	_ = writer.Close()
	return out.String()
}

// sendPieces sends a response in pieces. The plan says how it is framed and where it
// stops.
func (s *Server) sendPieces(w http.ResponseWriter, r *http.Request, id string, plan *Plan, pieces []string) {
	switch plan.Framing {
	case FramingLength:
		w.Header().Set("Content-Length", strconv.Itoa(len(strings.Join(pieces, ""))))
	case FramingConnection:
		// This is how net/http is told to send a body without chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(http.StatusOK)
	send := func(text string) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	send("")
	for i, piece := range pieces {
		if plan.Stop != StopNone && i == plan.StopAfter {
			half := 0
			if plan.Inside {
				half = len(piece) / 2
				send(piece[:half])
			}
			s.stop(w, r, id, plan.Stop)
			piece = piece[half:]
		}
		send(piece)
		if !httpapi.Sleep(r.Context(), time.Duration(plan.GapMillis)*time.Millisecond) {
			if plan.Framing == FramingConnection {
				// An orderly end would complete the response.
				s.stop(w, r, id, StopReset)
			}
			httpapi.Abort()
		}
	}
}

// stop carries out a stop. It returns only from a stall.
func (s *Server) stop(w http.ResponseWriter, r *http.Request, id string, stop Stop) {
	if stop == StopStall {
		select {
		case <-s.released(id):
		case <-s.stopped:
		case <-r.Context().Done():
			httpapi.Abort()
		}
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		httpapi.Abort()
	}
	if stop == StopReset {
		resetOnClose(conn)
	}
	_ = conn.Close()
	httpapi.Abort()
}

// released returns a channel that is closed once the stalled responses to a request are
// released.
func (s *Server) released(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	channel := s.releases[id]
	if channel == nil {
		channel = make(chan struct{})
		s.releases[id] = channel
	}
	return channel
}

// Release makes stalled responses to a request go on, also later ones.
func (s *Server) Release(id string) {
	channel := s.released(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-channel:
	default:
		close(channel)
	}
}
