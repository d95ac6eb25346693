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

// engine is the part of a model runner that orders change. It is used under the
// server's lock.
type engine struct {
	options  *Engine
	sequence int64
	fence    int64
	busy     bool
	// loaded holds the models with their adapters.
	loaded map[string]map[string]bool
	// coming holds the adapters on their way as MODEL/NAME.
	coming map[string]bool
	memory map[string]bool
	disk   map[string]bool
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
	e.coming = map[string]bool{}
	e.memory = map[string]bool{}
}

func (e *engine) model(name string) (Model, bool) {
	at := slices.IndexFunc(e.options.Models, func(m Model) bool { return m.Name == name })
	if at < 0 {
		return Model{}, false
	}
	return e.options.Models[at], true
}

func (e *engine) held() []heldModel {
	held := []heldModel{}
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		held = append(held, heldModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(e.loaded[name]))})
	}
	return held
}

// fits tells whether what is loaded and on its way fits, with one more target.
func (e *engine) fits(more Model, adapter bool) bool {
	mb, slots := more.MB, len(e.coming)
	if adapter {
		mb = more.AdapterMB
		slots++
	}
	for name, adapters := range e.loaded {
		model, _ := e.model(name)
		mb += model.MB + model.AdapterMB*float64(len(adapters))
		slots += len(adapters)
	}
	for name := range e.coming {
		owner, _, _ := strings.Cut(name, "/")
		model, _ := e.model(owner)
		mb += model.AdapterMB
	}
	return mb <= e.options.MB && slots <= e.options.AdapterSlots
}

// reportAnswer is a runner's account of itself.
type reportAnswer struct {
	State    string      `json:"state"`
	Models   []heldModel `json:"models"`
	Busy     bool        `json:"busy"`
	Sequence int64       `json:"sequence"`
	Born     int64       `json:"born"`
	Coming   []string    `json:"coming"`
	AtHand   struct {
		InMemory []string `json:"inMemory"`
		OnDisk   []string `json:"onDisk"`
	} `json:"atHand"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	answer := reportAnswer{
		State: s.state(), Models: s.engine.held(), Busy: s.engine.busy, Sequence: s.engine.sequence, Born: s.born,
		Coming: []string{}, Running: len(s.slots), Waiting: s.waiting,
	}
	for name := range s.engine.coming {
		answer.Coming = append(answer.Coming, name+"@1")
	}
	answer.AtHand.InMemory = slices.Sorted(maps.Keys(s.engine.memory))
	answer.AtHand.OnDisk = slices.Sorted(maps.Keys(s.engine.disk))
	silent := s.faults.Silent
	s.mu.Unlock()
	if silent {
		httpapi.Abort()
	}
	httpapi.Write(w, http.StatusOK, answer)
}

// orderCall is a demand to a runner.
type orderCall struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Expected     *int64 `json:"expected"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := httpapi.Body(w, r)
	var order orderCall
	if err == nil {
		err = json.Unmarshal(body, &order)
	}
	if err != nil || order.Holder == "" || order.FencingToken == 0 {
		httpapi.Fail(w, http.StatusBadRequest, "order incomplete")
		return
	}
	s.mu.Lock()
	lost := s.faults.LoseOrders
	expected := r.Header.Get("Teaselgauge-Expect-Instance")
	born := s.born
	s.mu.Unlock()
	if lost > 0 {
		time.AfterFunc(lost, func() { s.order(order, expected, born) })
		httpapi.Abort()
	}
	w.WriteHeader(s.order(order, expected, born))
}

// order carries an order out and returns the status of its answer.
func (s *Server) order(order orderCall, instance string, born int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine
	switch {
	case instance != "" && instance != s.id, born != s.born:
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

func (s *Server) orderModel(order orderCall, model Model) int {
	e := s.engine
	_, loaded := e.loaded[model.Name]
	if loaded == (order.Operation == "load") {
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	if order.Operation == "unload" {
		s.journal.Unloads++
		s.later(time.Millisecond, func() { delete(e.loaded, model.Name) })
		return http.StatusAccepted
	}
	if !e.fits(model, false) {
		s.journal.Violations.Overcommits++
	}
	s.journal.Loads[model.Name]++
	s.later(s.loadTime(model), func() {
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

// later ends the order under way after a while, unless the runner restarts.
func (s *Server) later(after time.Duration, end func()) {
	born := s.born
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born == born {
			end()
			s.engine.busy = false
		}
	})
}

func (s *Server) orderAdapter(order orderCall, model Model) int {
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
	case adapters[order.Adapter] || e.coming[name]:
		return http.StatusOK
	}
	if !e.fits(model, true) {
		s.journal.Violations.Overcommits++
	}
	e.sequence++
	e.coming[name] = true
	born := s.born
	time.AfterFunc(adapterLoad, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born == born {
			delete(e.coming, name)
			adapters[order.Adapter] = true
		}
	})
	return http.StatusAccepted
}
