package callers

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
	pathModels          = "/v1/models"
	pathHealth          = "/healthz"
	pathReady           = "/readyz"
	servicesPrefix      = "/services/"
)

// defaultIdempotentMethods applies to services that list no methods.
var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

func (h *Handler) buildApplication() (*iris.Application, error) {
	app := iris.New()
	app.Configure(
		iris.WithoutStartupLog,
		iris.WithoutAutoFireStatusCode,
		iris.WithoutPathCorrection,
		iris.WithoutServerError(http.ErrServerClosed),
	)
	app.Logger().SetLevel("disable")
	app.Any(pathChatCompletions, h.modelRoute(pathChatCompletions))
	app.Any(pathCompletions, h.modelRoute(pathCompletions))
	app.Any(pathModels, h.listModels)
	app.Any(pathHealth, h.health)
	app.Any(pathReady, h.readiness)
	app.Any(servicesPrefix+"{rest:path}", h.callService)
	app.Any("/{rest:path}", h.noSuchPath)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// respond writes a response that involves no agent.
func respond(ctx iris.Context, write func(w http.ResponseWriter, requestID string)) {
	ctx.ResponseWriter().SetWritten(0)
	w := ctx.ResponseWriter().Naive()
	requestID := uuid.NewString()
	w.Header().Set(HeaderRequestID, requestID)
	write(w, requestID)
}

func respondRefusal(ctx iris.Context, refusal *wire.Refusal) {
	respond(ctx, func(w http.ResponseWriter, requestID string) {
		writeRefusal(w, requestID, refusal)
	})
}

func (h *Handler) noSuchPath(ctx iris.Context) {
	respondRefusal(ctx, notRun(wire.ReasonNotFound, "no such path"))
}

func (h *Handler) health(ctx iris.Context) {
	respondStatus(ctx, http.StatusOK, "ok\n")
}

func (h *Handler) readiness(ctx iris.Context) {
	switch {
	case h.requests.draining.Load():
		respondStatus(ctx, http.StatusServiceUnavailable, "shutting down\n")
	case !h.ready():
		respondStatus(ctx, http.StatusServiceUnavailable, "not ready\n")
	default:
		respondStatus(ctx, http.StatusOK, "ready\n")
	}
}

func respondStatus(ctx iris.Context, status int, text string) {
	respond(ctx, func(w http.ResponseWriter, _ string) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	})
}

// modelRoute serves one of the routes that are forwarded to model engines.
func (h *Handler) modelRoute(path string) iris.Handler {
	return func(ctx iris.Context) {
		if ctx.Method() != http.MethodPost {
			respondRefusal(ctx, notRun(ReasonMethod, "use POST"))
			return
		}
		h.serve(ctx, metrics.KindModel, func(x *exchange, access Access, headers requestHeaders) (*wire.Request, *wire.Refusal) {
			return x.modelRequest(path, access, headers)
		})
	}
}

func (x *exchange) modelRequest(path string, access Access, headers requestHeaders) (*wire.Request, *wire.Refusal) {
	data, refusal := x.readBody()
	if refusal != nil {
		return nil, refusal
	}
	body, err := parseModelBody(data)
	if err != nil {
		return nil, notRun(wire.ReasonInvalid, err.Error())
	}
	target, ok := access.Model(body.model)
	if !ok {
		return nil, notRun(wire.ReasonNotFound, "the model isn't listed or the plan may not use it: "+strconv.Quote(body.model))
	}
	x.target = body.model
	request := x.baseRequest(access, headers)
	request.Model = target.Model
	request.Version = target.Version
	request.Adapter = target.Adapter
	request.AdapterVersion = target.AdapterVersion
	request.Method = http.MethodPost
	request.Path = path
	request.ContentType = "application/json"
	request.Idempotent = true
	request.Stream = body.stream
	request.Tokens = estimateTokens(data, body.outputTokens)
	request.Body = data
	return request, nil
}

func (x *exchange) baseRequest(access Access, headers requestHeaders) *wire.Request {
	plan := access.Plan()
	return &wire.Request{
		ID:              x.id,
		Plan:            plan.Name,
		Weight:          plan.Weight,
		Priority:        headers.priority,
		IdempotencyKey:  headers.idempotencyKey,
		ListsRevision:   access.ListsRevision(),
		MaxQueued:       plan.MaxQueued,
		TokensPerSecond: plan.TokensPerSecond,
	}
}

func (h *Handler) callService(ctx iris.Context) {
	h.serve(ctx, metrics.KindService, func(x *exchange, access Access, headers requestHeaders) (*wire.Request, *wire.Refusal) {
		return x.serviceRequest(access, headers)
	})
}

func (x *exchange) serviceRequest(access Access, headers requestHeaders) (*wire.Request, *wire.Refusal) {
	r := x.request()
	name, path, ok := splitServicePath(r.URL.EscapedPath())
	if !ok || hasDotSegment(r.URL.Path) {
		return nil, notRun(wire.ReasonInvalid, "the path must be /services/SERVICE/PATH without dot segments")
	}
	service, ok := access.Service(name)
	if !ok {
		return nil, notRun(wire.ReasonNotFound, "the service isn't listed or the plan may not use it: "+strconv.Quote(name))
	}
	x.target = name
	data, refusal := x.readBody()
	if refusal != nil {
		return nil, refusal
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	request := x.baseRequest(access, headers)
	request.Service = service.Name
	request.Method = r.Method
	request.Path = path
	request.ContentType = r.Header.Get("Content-Type")
	request.Idempotent = isIdempotent(service, r.Method)
	request.Tokens = estimateTokens(data, 1)
	request.Body = data
	return request, nil
}

// splitServicePath splits /services/NAME/PATH; the returned path starts with a
// slash.
func splitServicePath(escaped string) (name, path string, ok bool) {
	rest, ok := strings.CutPrefix(escaped, servicesPrefix)
	if !ok {
		return "", "", false
	}
	name, path, _ = strings.Cut(rest, "/")
	return name, "/" + path, name != ""
}

func hasDotSegment(path string) bool {
	return slices.ContainsFunc(strings.Split(path, "/"), func(segment string) bool {
		return segment == "." || segment == ".."
	})
}

func isIdempotent(service Service, method string) bool {
	methods := service.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	return slices.Contains(methods, method)
}

// modelList is the list of models in the format of the OpenAI API.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) listModels(ctx iris.Context) {
	if ctx.Method() != http.MethodGet {
		respondRefusal(ctx, notRun(ReasonMethod, "use GET"))
		return
	}
	access, refusal := h.authenticate(ctx.Request().Header)
	if refusal != nil {
		respondRefusal(ctx, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range access.Models() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "teaselgauge"})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		respondRefusal(ctx, notRun(wire.ReasonInvalid, "the list of models can't be encoded"))
		return
	}
	respond(ctx, func(w http.ResponseWriter, _ string) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encoded)
	})
}
