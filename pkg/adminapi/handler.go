package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/schema"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const (
	// maxBodyBytes limits the body of a change, in bytes.
	maxBodyBytes = 24 << 20
	// maxErrorBytes limits the part of an invalid document that an error repeats.
	maxErrorBytes = 4 << 10
	// defaultTimeout is the default of Config.Timeout.
	defaultTimeout = 30 * time.Second
	// retryAfterSeconds is sent while the key-value service is unavailable.
	retryAfterSeconds = 5
)

// Config holds the API's dependencies and settings.
type Config struct {
	Credentials []settings.AdminCredential
	Lists       ListsService
	Status      StatusSource
	// Dump returns the content of the state dump. It may be nil.
	Dump func() any
	// Logger receives the audit log. Nil means slog.Default.
	Logger *slog.Logger
	// Timeout limits the duration of one request. Zero means 30 s.
	Timeout time.Duration
}

type handler struct {
	config Config
	mux    *http.ServeMux
}

// New returns the handler of the API.
func New(config Config) http.Handler {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	h := &handler{config: config, mux: http.NewServeMux()}
	h.handle("GET "+ListsPath, settings.AdminReader, h.getLists)
	h.handle("PUT "+ListsPath, settings.AdminEditor, h.putLists)
	h.handle("GET "+StatusPath, settings.AdminReader, h.getStatus)
	h.handle("GET "+DumpPath, settings.AdminReader, h.getDump)
	return h.mux
}

// endpoint handles the request of an authenticated administrator.
type endpoint func(w http.ResponseWriter, r *http.Request, administrator string)

func (h *handler) handle(pattern string, role settings.AdminRole, fn endpoint) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), h.config.Timeout)
		defer cancel()
		w.Header().Set("Cache-Control", "no-store")
		credential, ok := authenticate(h.config.Credentials, r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, ErrorDetail{Code: CodeUnauthorized, Message: "a valid bearer token is required"})
			return
		}
		if !includes(credential.Role, role) {
			h.config.Logger.Warn("administration request refused", "administrator", credential.Name, "role", credential.Role, "method", r.Method, "path", r.URL.Path)
			writeError(w, http.StatusForbidden, ErrorDetail{Code: CodeForbidden, Message: fmt.Sprintf("role %s is required", role)})
			return
		}
		fn(w, r.WithContext(ctx), credential.Name)
	})
}

func (h *handler) getLists(w http.ResponseWriter, r *http.Request, _ string) {
	snapshot, err := h.config.Lists.Get(r.Context())
	if err != nil {
		status, detail := errorResponse(err)
		writeError(w, status, detail)
		return
	}
	w.Header().Set("ETag", etag(snapshot.Revision))
	writeJSON(w, http.StatusOK, snapshot)
}

func (h *handler) putLists(w http.ResponseWriter, r *http.Request, administrator string) {
	expected, detail := expectedRevision(r)
	if detail != nil {
		writeError(w, http.StatusPreconditionRequired, *detail)
		return
	}
	body, status, detail := readBody(w, r)
	if detail != nil {
		writeError(w, status, *detail)
		return
	}
	if body.Revision != 0 && body.Revision != expected {
		message := fmt.Sprintf("the body names revision %d, the condition %d", body.Revision, expected)
		writeError(w, http.StatusBadRequest, ErrorDetail{Code: CodeInvalid, Message: message})
		return
	}
	revision, err := h.config.Lists.Put(r.Context(), expected, body.Plans, body.Allowances, administrator)
	if err != nil {
		status, detail := errorResponse(err)
		h.config.Logger.Warn("lists change failed", "administrator", administrator, "expected_revision", expected, "code", detail.Code, "problems", len(detail.Problems))
		writeError(w, status, detail)
		return
	}
	h.config.Logger.Info("lists changed", "administrator", administrator, "expected_revision", expected, "revision", revision,
		"plans", len(body.Plans.Plans), "models", len(body.Allowances.Models), "adapters", len(body.Allowances.Adapters), "services", len(body.Allowances.Services))
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, PutResult{Revision: revision})
}

func (h *handler) getStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, h.config.Status.Status())
}

func (h *handler) getDump(w http.ResponseWriter, r *http.Request, _ string) {
	if h.config.Dump == nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, h.config.Dump())
}

// expectedRevision reads the precondition of a change: If-Match with the current
// revision, or If-None-Match with "*" if no lists are stored yet.
func expectedRevision(r *http.Request) (int64, *ErrorDetail) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	value := strings.Trim(r.Header.Get("If-Match"), `"`)
	revision, err := strconv.ParseInt(value, 10, 64)
	if err != nil || revision <= 0 {
		message := `If-Match with the current revision, or If-None-Match: * without lists, is required`
		return 0, &ErrorDetail{Code: CodeNoCondition, Message: message}
	}
	return revision, nil
}

func readBody(w http.ResponseWriter, r *http.Request) (PutBody, int, *ErrorDetail) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			message := fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit)
			return PutBody{}, http.StatusRequestEntityTooLarge, &ErrorDetail{Code: CodeTooLarge, Message: message}
		}
		return PutBody{}, http.StatusBadRequest, &ErrorDetail{Code: CodeInvalid, Message: "the body can't be read"}
	}
	var body PutBody
	if err := schema.Decode(data, &body); err != nil {
		message := err.Error()
		message = message[:min(len(message), maxErrorBytes)]
		return PutBody{}, http.StatusBadRequest, &ErrorDetail{Code: CodeInvalid, Message: message}
	}
	return body, http.StatusOK, nil
}

// errorResponse maps errors of the lists to HTTP statuses and error details.
func errorResponse(err error) (int, ErrorDetail) {
	var checkErr *lists.CheckError
	var conflict *lists.ConflictError
	var uncertain *lists.UncertainError
	var unreadable *lists.UnreadableError
	switch {
	case errors.As(err, &checkErr):
		message := fmt.Sprintf("the lists have %d problems", len(checkErr.Problems))
		return http.StatusUnprocessableEntity, ErrorDetail{Code: CodeRefused, Message: message, Problems: checkErr.Problems}
	case errors.As(err, &conflict):
		return http.StatusConflict, ErrorDetail{Code: CodeConflict, Message: conflict.Error(), CurrentRevision: &conflict.Current}
	case errors.As(err, &uncertain):
		message := "the change may have been made; read the lists and compare before trying again"
		return http.StatusServiceUnavailable, ErrorDetail{Code: CodeUncertain, Message: message, ChangeID: uncertain.ChangeID}
	case errors.As(err, &unreadable):
		return http.StatusInternalServerError, ErrorDetail{Code: CodeUnreadable, Message: unreadable.Error()}
	case errors.Is(err, lists.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, ErrorDetail{Code: CodeTooLarge, Message: err.Error()}
	default:
		return http.StatusServiceUnavailable, ErrorDetail{Code: CodeUnavailable, Message: err.Error()}
	}
}

func etag(revision int64) string {
	return strconv.Quote(strconv.FormatInt(revision, 10))
}

func writeError(w http.ResponseWriter, status int, detail ErrorDetail) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, status, ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client disconnected.
	_, _ = w.Write(append(data, '\n'))
}
