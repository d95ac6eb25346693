package modelengine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// resident is a target that occupies memory.
type resident struct {
	state     engine.LoadState
	memoryMiB int64
	running   int
}

// failure describes why an order or a request was refused or failed.
type failure struct {
	status int
	notRun bool
	text   string
}

func refuse(status int, format string, args ...any) *failure {
	return &failure{status: status, notRun: true, text: fmt.Sprintf(format, args...)}
}

func (f *failure) write(w http.ResponseWriter) {
	if f.notRun {
		w.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
	}
	httpapi.WriteError(w, f.status, f.text)
}

// orderResult is the result of an order. It is kept so that a repeated order gets
// the same result.
type orderResult struct {
	done    chan struct{}
	failure *failure
}

// OrderResponse is the response to an order that was carried out.
type OrderResponse struct {
	OrderID string `json:"order_id"`
}

// handleOrder carries an order out to completion, even if the agent disconnects.
func (s *Server) handleOrder(execute func(engine.Order) *failure) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order engine.Order
		if !httpapi.ReadJSON(w, r, &order) {
			return
		}
		result, first := s.orderResult(order.ID)
		if first {
			go func() {
				result.failure = s.executeOrder(order, execute)
				close(result.done)
			}()
		}
		select {
		case <-result.done:
		case <-r.Context().Done():
			return
		}
		if result.failure != nil {
			result.failure.write(w)
			return
		}
		httpapi.WriteJSON(w, http.StatusOK, OrderResponse{OrderID: order.ID})
	}
}

func (s *Server) orderResult(id string) (result *orderResult, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result, ok := s.orders[id]; ok && id != "" {
		return result, false
	}
	result = &orderResult{done: make(chan struct{})}
	s.orders[id] = result
	return result, true
}

// executeOrder carries an order out. If the engine checks fencing tokens, it
// refuses an order with a stale one.
func (s *Server) executeOrder(order engine.Order, execute func(engine.Order) *failure) *failure {
	s.mu.Lock()
	highest := s.fence
	stale := order.Fence < highest
	s.fence = max(s.fence, order.Fence)
	s.mu.Unlock()
	if stale && s.options.CheckFences {
		f := refuse(http.StatusConflict, "fencing token %d is older than %d", order.Fence, highest)
		s.record(EventRefused, order, f.text)
		return f
	}
	if stale {
		s.journal.countViolation(&s.journal.violations.StaleOrders)
	}
	f := execute(order)
	if f != nil {
		s.record(EventRefused, order, f.text)
	}
	return f
}

// record adds an event of an order to the journal.
func (s *Server) record(event Event, order engine.Order, detail string) {
	s.mu.Lock()
	used := s.usedMiB
	s.mu.Unlock()
	s.journal.add(Entry{
		Event: event, OrderID: order.ID, Fence: order.Fence, Target: order.Target,
		MemoryMiB: order.MemoryMiB, UsedMiB: used, Detail: detail,
	})
}

func (s *Server) setRole(order engine.Order) *failure {
	s.mu.Lock()
	s.role = order.Role
	s.mu.Unlock()
	s.record(EventRole, order, order.Role)
	return nil
}

func (s *Server) load(order engine.Order) *failure {
	tier, done, f := s.reserve(order)
	if f != nil || done {
		return f
	}
	s.record(EventLoadOrdered, order, string(tier))
	err := s.fetch(order, tier)
	s.mu.Lock()
	if err != nil {
		delete(s.targets, order.Target)
		s.usedMiB -= order.MemoryMiB
	} else {
		s.targets[order.Target].state = engine.StateLoaded
		s.cacheInMemory(order.Target)
	}
	s.notify()
	s.mu.Unlock()
	if err != nil {
		s.record(EventLoadFailed, order, err.Error())
		return &failure{status: http.StatusInternalServerError, text: err.Error()}
	}
	s.record(EventLoaded, order, string(tier))
	return nil
}

// reserve reserves the memory of a load. It first waits for a running load of the
// same target; done reports that the target is loaded already.
func (s *Server) reserve(order engine.Order) (tier engine.CacheTier, done bool, f *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[order.Target] != nil {
		s.journal.countViolation(&s.journal.violations.RepeatedLoads)
	}
	for {
		r, ok := s.targets[order.Target]
		if !ok {
			break
		}
		if r.state == engine.StateLoaded {
			return "", true, nil
		}
		if r.state == engine.StateUnloading {
			return "", false, refuse(http.StatusConflict, "target is being unloaded")
		}
		s.waitLocked()
	}
	if order.Target.Adapter != "" {
		base := s.targets[engine.Target{Model: order.Target.Model, Version: order.Target.Version}]
		if base == nil || base.state != engine.StateLoaded {
			return "", false, refuse(http.StatusConflict, "base model is not loaded")
		}
	}
	if s.usedMiB+order.MemoryMiB > s.options.MemoryMiB {
		s.journal.countViolation(&s.journal.violations.Overcommits)
		return "", false, refuse(http.StatusInsufficientStorage, "%d MiB in use, %d MiB more exceed %d MiB",
			s.usedMiB, order.MemoryMiB, s.options.MemoryMiB)
	}
	s.usedMiB += order.MemoryMiB
	s.targets[order.Target] = &resident{state: engine.StateLoading, memoryMiB: order.MemoryMiB}
	return s.tier(order.Target), false, nil
}

// waitLocked waits for a change. The caller holds mu, which is released during
// the wait.
func (s *Server) waitLocked() {
	changed := s.changed
	s.mu.Unlock()
	<-changed
	s.mu.Lock()
}

// fetch simulates the duration of a load and fails if the faults require it.
func (s *Server) fetch(order engine.Order, tier engine.CacheTier) error {
	if tier == engine.CacheRemote {
		if err := s.fetchRemote(order); err != nil {
			return err
		}
	}
	s.mu.Lock()
	delay := s.loadTime(order.Target, tier) + time.Duration(s.faults.LoadDelayMillis)*time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.faults.FreezeLoads {
		s.waitLocked()
	}
	if s.faults.FailNextLoads > 0 {
		s.faults.FailNextLoads--
		return fmt.Errorf("load of %s failed", Name(order.Target))
	}
	return nil
}

func (s *Server) loadTime(target engine.Target, tier engine.CacheTier) time.Duration {
	if target.Adapter != "" {
		return 0
	}
	switch tier {
	case engine.CacheMemory:
		return s.options.MemoryLoad
	case engine.CacheDisk:
		return s.options.DiskLoad
	default:
		return s.options.RemoteLoad
	}
}

func (s *Server) fetchRemote(order engine.Order) error {
	if s.options.WeightStore == "" {
		return nil
	}
	response, err := s.client.Get(s.sourceURL(order))
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", response.StatusCode)
	}
	return nil
}

func (s *Server) sourceURL(order engine.Order) string {
	target := order.Target
	if target.Adapter != "" {
		return fmt.Sprintf("%s/adapters/%s/%s", s.options.WeightStore,
			url.PathEscape(target.Adapter), url.PathEscape(target.AdapterVersion))
	}
	return fmt.Sprintf("%s/checkpoints/%s/%s?mib=%d", s.options.WeightStore,
		url.PathEscape(target.Model), url.PathEscape(target.Version), order.MemoryMiB)
}

// cacheInMemory caches a checkpoint in the host's memory and moves the oldest one
// to disk if the cache is full. The caller holds mu.
func (s *Server) cacheInMemory(target engine.Target) {
	kept := s.recentlyLoaded[:0:0]
	for _, other := range s.recentlyLoaded {
		if other != target {
			kept = append(kept, other)
		}
	}
	s.recentlyLoaded = append(kept, target)
	s.cached[target] = engine.CacheMemory
	if len(s.recentlyLoaded) > s.options.MemoryCached {
		s.cached[s.recentlyLoaded[0]] = engine.CacheDisk
		s.recentlyLoaded = s.recentlyLoaded[1:]
	}
}

// unload waits for the target's running requests and frees its memory.
func (s *Server) unload(order engine.Order) *failure {
	r, f := s.startUnload(order)
	if f != nil {
		return f
	}
	s.record(EventUnloadOrdered, order, "")
	if r == nil {
		s.record(EventUnloaded, order, "was not loaded")
		return nil
	}
	s.mu.Lock()
	for r.running > 0 {
		s.waitLocked()
	}
	s.mu.Unlock()
	httpapi.Sleep(context.Background(), s.options.UnloadTime)
	s.mu.Lock()
	delete(s.targets, order.Target)
	s.usedMiB -= r.memoryMiB
	s.notify()
	s.mu.Unlock()
	s.record(EventUnloaded, order, "")
	return nil
}

// startUnload stops a target from receiving new requests. It returns a nil
// resident for a target that isn't loaded.
func (s *Server) startUnload(order engine.Order) (*resident, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.targets[order.Target]
	if r == nil {
		return nil, nil
	}
	if r.state != engine.StateLoaded {
		return nil, refuse(http.StatusConflict, "target is %s", r.state)
	}
	for target := range s.targets {
		if order.Target.Adapter == "" && target.Adapter != "" &&
			target.Model == order.Target.Model && target.Version == order.Target.Version {
			return nil, refuse(http.StatusConflict, "adapter %s is loaded on it", target.Adapter)
		}
	}
	r.state = engine.StateUnloading
	return r, nil
}

// Name returns the name of a target in responses.
func Name(target engine.Target) string {
	name := target.Model + "@" + target.Version
	if target.Adapter != "" {
		name += "+" + target.Adapter + "@" + target.AdapterVersion
	}
	return name
}
