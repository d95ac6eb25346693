package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
)

const (
	// crashCheckInterval is the time between two checks whether a server has crashed,
	// crashConfirmTimeout how long after the first failed request they go on.
	crashCheckInterval  = 50 * time.Millisecond
	crashConfirmTimeout = 1500 * time.Millisecond
	// crashDialTimeout limits the attempt to connect to a server without a responding
	// agent.
	crashDialTimeout = 200 * time.Millisecond
	// maxCrashChecks is the number of servers that are checked concurrently.
	maxCrashChecks = 64
	// maxSuspectsPerCrash bounds the requests that are recorded of one crash.
	maxSuspectsPerCrash = 64
)

// suspectRequest is a request that ended with its connection before its response
// had started, or just after.
type suspectRequest struct {
	requestID    string
	fingerprints []quarantine.Fingerprint
	// begun is set if the server had just begun the response.
	begun bool
}

// crash is the end of a backend server with the requests of this host that may have
// caused it.
type crash struct {
	service  string
	server   backpressure.Incarnation
	at       time.Time
	suspects []suspectRequest
}

// crashCheck is a server whose connections have failed and that may have crashed.
type crashCheck struct {
	target   *server
	failedAt time.Time
	suspects []suspectRequest
}

// crashObserver finds out whether requests failed because their server crashed. It
// is safe for concurrent use.
type crashObserver struct {
	control *control
	logger  *slog.Logger
	metrics *metrics.Gateway
	// reportCrash is called with each crash.
	reportCrash func(crash)

	mu     sync.Mutex
	checks map[backpressure.Incarnation]*crashCheck
}

func newCrashObserver(c *control, logger *slog.Logger, gatewayMetrics *metrics.Gateway) *crashObserver {
	return &crashObserver{
		control:     c,
		logger:      logger,
		metrics:     gatewayMetrics,
		reportCrash: func(crash) {},
		checks:      make(map[backpressure.Incarnation]*crashCheck),
	}
}

// requestFailed records a request that failed with its connection, and starts to
// check whether its server has crashed.
func (o *crashObserver) requestFailed(now time.Time, target *server, suspect suspectRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := target.incarnation()
	if check := o.checks[id]; check != nil {
		if len(check.suspects) < maxSuspectsPerCrash {
			check.suspects = append(check.suspects, suspect)
		}
		return
	}
	if len(o.checks) >= maxCrashChecks {
		o.logger.Warn("server not checked for a crash, too many failed at once", "backend", target.ID, "request", suspect.requestID)
		return
	}
	check := &crashCheck{target: target, failedAt: now, suspects: []suspectRequest{suspect}}
	o.checks[id] = check
	go o.await(check)
}

// await reports a crash once it is confirmed.
func (o *crashObserver) await(check *crashCheck) {
	evidence := ""
	for evidence == "" && time.Since(check.failedAt) < crashConfirmTimeout {
		// Other requests on the same server fail within this interval.
		time.Sleep(crashCheckInterval)
		evidence = o.evidence(check.target)
	}
	o.mu.Lock()
	delete(o.checks, check.target.incarnation())
	suspects := check.suspects
	o.mu.Unlock()
	if evidence == "" {
		o.metrics.CrashCheck(metrics.CrashUnconfirmed)
		o.logger.Info("requests failed at a backend server that didn't crash", "backend", check.target.ID, "requests", len(suspects))
		return
	}
	o.metrics.CrashCheck(metrics.CrashConfirmed)
	for i := range suspects {
		o.logger.Info("request failed with a crash of its server", "request", suspects[i].requestID, "backend", check.target.ID,
			"begun", suspects[i].begun, "fingerprints", suspects[i].fingerprints)
	}
	o.logger.Info("backend server crashed", "belief", "backend:"+check.target.ID, "backend", check.target.ID, "evidence", evidence,
		"suspects", len(suspects), "confirmed_ms", time.Since(check.failedAt).Milliseconds())
	o.reportCrash(crash{service: check.target.Service, server: check.target.incarnation(), at: check.failedAt, suspects: suspects})
}

// evidence returns what shows that a server has crashed, or "" if nothing does. A
// server that was to leave doesn't count as crashed.
func (o *crashObserver) evidence(target *server) string {
	now := time.Now()
	known := o.control.current().listed(target)
	if known == nil {
		return ""
	}
	switch {
	case known.State != fleet.BackendReady:
		return ""
	case known.replaced || known.incarnation() != target.incarnation():
		return "restarted"
	case known.agent != "" && known.hasFreshStatus(now):
		if known.state.Status.NotRunning {
			return "agent"
		}
		return ""
	case refusesConnections(known.Address):
		return "connection refused"
	default:
		return ""
	}
}

// refusesConnections reports whether no process accepts connections at an address.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The connection was opened only to see whether it is accepted.
	_ = connection.Close()
	return false
}
