package backendserver

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// engine is the part of a model runner's state that orders change. It is guarded
// by the server's lock.
type engine struct {
	options  *Engine
	sequence int64
	fence    int64
	busy     bool
	// loaded holds the models with their adapters.
	loaded map[string]map[string]bool
	// loadingAdapters holds the adapters that are being loaded, as MODEL/NAME.
	loadingAdapters map[string]bool
	memory          map[string]bool
	disk            map[string]bool
}

func newEngine(options *Engine) *engine {
	e := &engine{options: options, disk: map[string]bool{}}
	e.restart()
	for _, name := range options.Loaded {
		e.loaded[name] = map[string]bool{}
		e.memory[name] = true
		e.disk[name] = true
	}
	for _, name := range options.OnDisk {
		e.disk[name] = true
	}
	return e
}

func (e *engine) restart() {
	e.sequence = 0
	e.fence = 0
	e.busy = false
	e.loaded = map[string]map[string]bool{}
	e.loadingAdapters = map[string]bool{}
	e.memory = map[string]bool{}
}

func (e *engine) model(name string) (Model, bool) {
	at := slices.IndexFunc(e.options.Models, func(m Model) bool { return m.Name == name })
	if at < 0 {
		return Model{}, false
	}
	return e.options.Models[at], true
}

func (e *engine) loadedModels() []loadedModel {
	models := []loadedModel{}
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		models = append(models, loadedModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(e.loaded[name]))})
	}
	return models
}

// fits reports whether the loaded models and adapters, the adapters that are being
// loaded and one more target fit into the memory and the adapter slots.
func (e *engine) fits(more Model, adapter bool) bool {
	mb, slots := more.MB, len(e.loadingAdapters)
	if adapter {
		mb = more.AdapterMB
		slots++
	}
	for name, adapters := range e.loaded {
		model, _ := e.model(name)
		mb += model.MB + model.AdapterMB*float64(len(adapters))
		slots += len(adapters)
	}
	for name := range e.loadingAdapters {
		owner, _, _ := strings.Cut(name, "/")
		model, _ := e.model(owner)
		mb += model.AdapterMB
	}
	return mb <= e.options.MB && slots <= e.options.AdapterSlots
}

// reportResponse is the body of a runner's status report.
type reportResponse struct {
	State     string        `json:"state"`
	Models    []loadedModel `json:"models"`
	Busy      bool          `json:"busy"`
	Sequence  int64         `json:"sequence"`
	StartedAt int64         `json:"born"`
	Loading   []string      `json:"coming"`
	Cached    struct {
		InMemory []string `json:"inMemory"`
		OnDisk   []string `json:"onDisk"`
	} `json:"atHand"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	response := reportResponse{
		State: s.state(), Models: s.engine.loadedModels(), Busy: s.engine.busy, Sequence: s.engine.sequence, StartedAt: s.startedAt,
		Loading: []string{}, Running: len(s.slots), Waiting: s.waiting,
	}
	for name := range s.engine.loadingAdapters {
		response.Loading = append(response.Loading, name+"@1")
	}
	response.Cached.InMemory = slices.Sorted(maps.Keys(s.engine.memory))
	response.Cached.OnDisk = slices.Sorted(maps.Keys(s.engine.disk))
	silent := s.faults.Silent
	s.mu.Unlock()
	if silent {
		httpapi.Abort()
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

// orderRequest is an order to load or unload a model or an adapter.
type orderRequest struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Expected     *int64 `json:"expected"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := httpapi.ReadBody(w, r)
	var order orderRequest
	if err == nil {
		err = json.Unmarshal(body, &order)
	}
	if err != nil || order.Holder == "" || order.FencingToken == 0 {
		httpapi.WriteError(w, http.StatusBadRequest, "order incomplete")
		return
	}
	s.mu.Lock()
	loseAfter := s.faults.LoseOrders
	expected := r.Header.Get("Teaselgauge-Expect-Instance")
	startedAt := s.startedAt
	s.mu.Unlock()
	if loseAfter > 0 {
		time.AfterFunc(loseAfter, func() { s.order(order, expected, startedAt) })
		httpapi.Abort()
	}
	w.WriteHeader(s.order(order, expected, startedAt))
}

// order carries an order out and returns the status of its response.
func (s *Server) order(order orderRequest, instance string, startedAt int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine
	switch {
	case instance != "" && instance != s.id, startedAt != s.startedAt:
		return http.StatusMisdirectedRequest
	case order.FencingToken < e.fence:
		s.journal.Violations.StaleOrders++
		return http.StatusPreconditionFailed
	case e.busy || (order.Expected != nil && *order.Expected != e.sequence):
		return http.StatusConflict
	}
	model, known := e.model(order.Model)
	if !known {
		return http.StatusBadRequest
	}
	e.fence = order.FencingToken
	if order.Adapter != "" {
		return s.orderAdapter(order, model)
	}
	return s.orderModel(order, model)
}

func (s *Server) orderModel(order orderRequest, model Model) int {
	e := s.engine
	_, loaded := e.loaded[model.Name]
	if loaded == (order.Operation == "load") {
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	if order.Operation == "unload" {
		s.journal.Unloads++
		s.completeAfter(time.Millisecond, func() { delete(e.loaded, model.Name) })
		return http.StatusAccepted
	}
	if !e.fits(model, false) {
		s.journal.Violations.Overcommits++
	}
	s.journal.Loads[model.Name]++
	s.completeAfter(s.loadTime(model), func() {
		e.loaded[model.Name] = map[string]bool{}
		e.memory[model.Name] = true
		e.disk[model.Name] = true
	})
	return http.StatusAccepted
}

func (s *Server) loadTime(model Model) time.Duration {
	switch {
	case s.engine.memory[model.Name]:
		return model.FromMemory
	case s.engine.disk[model.Name]:
		return model.FromDisk
	default:
		s.journal.StoreLoads++
		return model.FromStore
	}
}

// completeAfter completes the running order after a delay, unless the runner is
// restarted before.
func (s *Server) completeAfter(after time.Duration, complete func()) {
	startedAt := s.startedAt
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.startedAt == startedAt {
			complete()
			s.engine.busy = false
		}
	})
}

func (s *Server) orderAdapter(order orderRequest, model Model) int {
	const adapterLoad = 5 * time.Millisecond
	e := s.engine
	adapters, loaded := e.loaded[model.Name]
	name := model.Name + "/" + order.Adapter
	switch {
	case !loaded:
		return http.StatusConflict
	case order.Operation == "unload":
		e.sequence++
		delete(adapters, order.Adapter)
		return http.StatusOK
	case adapters[order.Adapter] || e.loadingAdapters[name]:
		return http.StatusOK
	}
	if !e.fits(model, true) {
		s.journal.Violations.Overcommits++
	}
	e.sequence++
	e.loadingAdapters[name] = true
	startedAt := s.startedAt
	time.AfterFunc(adapterLoad, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.startedAt == startedAt {
			delete(e.loadingAdapters, name)
			adapters[order.Adapter] = true
		}
	})
	return http.StatusAccepted
}
