package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/membership"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/quota"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// quotaTimeout limits the wait of a request for an entry that issues credit.
	quotaTimeout = 80 * time.Millisecond
	// quotaReportTimeout limits the wait of a report, which may have to connect first.
	quotaReportTimeout = 500 * time.Millisecond
	// quotaLabel separates the choice of owners from other choices among the entries.
	quotaLabel = "quota "
	// minOwnerShare is the part of the largest processor share of an entry from which on
	// an entry's share counts as large.
	minOwnerShare = 0.5
	// accountRetention is how long an account is kept without requests.
	accountRetention = 10 * time.Minute
	// maxQuotaFailureLogsPerSecond limits the log lines on entries that don't respond.
	maxQuotaFailureLogsPerSecond = 5
)

// The outcomes of charges in logs and metrics.
const (
	quotaCredit  = "credit"
	quotaGranted = "granted"
	quotaAlone   = "alone"
	quotaRefused = "refused"
	// quotaReturned: the request had been charged, and hasn't run.
	quotaReturned = "returned"
	// quotaRefusedAlone: nobody responded, and the entry's share was used up.
	quotaRefusedAlone = "refused-alone"
)

// errNoQuotaNode means that the entry can't reach other entries yet.
var errNoQuotaNode = errors.New("internal protocol not started")

// quotaClient charges requests to the quotas of organisations. For each organisation,
// all entries ask the same entry for credit. It is safe for concurrent use.
type quotaClient struct {
	self        string
	incarnation int64
	control     *control
	node        *atomic.Pointer[wire.Node]
	server      *quotaServer
	reach       *quota.Reachability
	metrics     *metrics.Gateway
	logger      *slog.Logger
	failures    *logging.Sampler

	mu       sync.Mutex
	accounts map[string]*quota.Account
	// hosts are those that ranked was computed from.
	hosts  map[string]roster.Host
	ranked map[string][]string
}

func newQuotaClient(self string, now time.Time, bounds quota.Bounds, c *control, node *atomic.Pointer[wire.Node], o *observer) *quotaClient {
	return &quotaClient{
		self:        self,
		incarnation: now.UnixNano(),
		control:     c,
		node:        node,
		server:      &quotaServer{owner: quota.NewOwner(), control: c, bounds: bounds, logger: o.logger},
		reach:       quota.NewReachability(),
		metrics:     o.metrics,
		logger:      o.logger,
		failures:    logging.NewSampler(maxQuotaFailureLogsPerSecond),
		accounts:    make(map[string]*quota.Account),
	}
}

// charge is what a charge was decided by.
type charge struct {
	outcome string
	// entry issued or refused the credit; empty if this entry decided by itself.
	entry      string
	retryAfter time.Duration
	state      quota.State
}

// isRefused reports whether the request is over the quota.
func (c charge) isRefused() bool { return c.outcome == quotaRefused || c.outcome == quotaRefusedAlone }

// charge charges the cost of a request. It waits for an entry that issues credit if
// there is none left.
func (c *quotaClient) charge(ctx context.Context, organisation *fleet.Organisation, version int64, cost float64) charge {
	account := c.account(organisation.Name)
	now := time.Now()
	outcome, retryAfter := account.Take(now, cost)
	decided := charge{outcome: quotaCredit, retryAfter: retryAfter}
	switch outcome {
	case quota.NeedsCredit:
		decided = c.obtain(ctx, organisation, version, account, cost)
	case quota.Refused:
		decided.outcome = quotaRefused
	case quota.Charged:
	}
	decided.state = account.State(time.Now())
	c.metrics.QuotaCharge(decided.outcome)
	return decided
}

// obtain asks the entries that issue credit for the cost, or decides by this entry's
// share if none responds.
func (c *quotaClient) obtain(ctx context.Context, organisation *fleet.Organisation, version int64, account *quota.Account, cost float64) charge {
	if entry, grant, ok := c.ask(ctx, organisation, version, account, cost); ok {
		outcome, retryAfter := account.Apply(time.Now(), cost, grant)
		if outcome == quota.Charged {
			return charge{outcome: quotaGranted, entry: entry}
		}
		return charge{outcome: quotaRefused, entry: entry, retryAfter: retryAfter}
	}
	limit := quota.LimitOf(organisation.Quota, c.server.bounds)
	outcome, retryAfter := account.TakeAlone(time.Now(), limit, cost)
	if outcome == quota.Charged {
		return charge{outcome: quotaAlone}
	}
	return charge{outcome: quotaRefusedAlone, retryAfter: retryAfter}
}

// report tells the owner of a quota that this entry is there.
func (c *quotaClient) report(ctx context.Context, organisation *fleet.Organisation, version int64) {
	account := c.account(organisation.Name)
	if _, grant, ok := c.ask(ctx, organisation, version, account, 0); ok {
		account.Apply(time.Now(), 0, grant)
	}
}

// ask asks the entries that issue credit one after the other.
func (c *quotaClient) ask(ctx context.Context, organisation *fleet.Organisation, version int64, account *quota.Account, cost float64) (string, quota.Grant, bool) {
	hosts, ranked := c.rankedEntries(organisation.Name)
	for _, target := range c.reach.Targets(time.Now(), ranked) {
		request := c.encode(organisation, version, account.Request(time.Now(), cost), len(ranked), target.Substitute)
		grant, err := c.request(ctx, hosts[target.Entry], request)
		if err == nil {
			c.reach.Responded(target.Entry)
			return target.Entry, grant, true
		}
		if ctx.Err() != nil {
			return "", quota.Grant{}, false
		}
		now := time.Now()
		c.reach.Failed(now, target.Entry)
		if c.failures.Allow(now) {
			c.logger.Warn("entry that owns a quota not responding", "entry", target.Entry, "organisation", organisation.Name, "substitute", target.Substitute, "error", err)
		}
	}
	return "", quota.Grant{}, false
}

func (c *quotaClient) encode(organisation *fleet.Organisation, version int64, r quota.Request, entries int, substitute bool) *wire.QuotaRequest {
	return &wire.QuotaRequest{
		Organisation:  organisation.Name,
		Incarnation:   c.incarnation,
		Cost:          r.Cost,
		Ahead:         r.Ahead,
		Demand:        r.Demand,
		Frequent:      r.Frequent,
		Share:         r.Share,
		Returned:      r.Returned,
		Entries:       entries,
		Substitute:    substitute,
		Configuration: version,
		PerSecond:     organisation.Quota.PerSecond,
		Burst:         organisation.Quota.Burst,
	}
}

// request requests credit from an entry.
func (c *quotaClient) request(ctx context.Context, entry roster.Host, request *wire.QuotaRequest) (quota.Grant, error) {
	if entry.ID == c.self {
		return c.server.decide(time.Now(), c.self, request), nil
	}
	node := c.node.Load()
	if node == nil {
		return quota.Grant{}, errNoQuotaNode
	}
	timeout := quotaTimeout
	if request.Cost == 0 {
		timeout = quotaReportTimeout
	}
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := node.Open(askCtx, entry.ID, entry.InternalAddress)
	if err != nil {
		return quota.Grant{}, err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(askCtx, stream.Abort)
	defer stop()
	if err := stream.Send(&wire.Frame{QuotaRequest: request}); err != nil {
		return quota.Grant{}, err
	}
	frame, err := stream.Receive()
	switch {
	case err != nil:
		return quota.Grant{}, err
	case frame.QuotaGrant == nil:
		return quota.Grant{}, errUnexpectedFrame
	}
	granted := frame.QuotaGrant
	return quota.Grant{
		Credit:     granted.Credit,
		Share:      granted.Share,
		RetryAfter: time.Duration(granted.RetryAfterMillis) * time.Millisecond,
		Left:       granted.Left,
		PerSecond:  granted.PerSecond,
	}, nil
}

// rankedEntries returns the entries in the order in which they are asked for an
// organisation's credit. Before the hosts are known, that is this entry alone.
func (c *quotaClient) rankedEntries(organisation string) (map[string]roster.Host, []string) {
	hosts := c.control.current().hosts
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranked == nil || !sameHosts(hosts, c.hosts) {
		c.hosts, c.ranked = hosts, make(map[string][]string)
	}
	ranked, known := c.ranked[organisation]
	if !known {
		ranked = rankOwners(c.hosts, organisation)
		c.ranked[organisation] = ranked
	}
	return c.hosts, ranked
}

// rankOwners returns the entries in the order in which they issue an organisation's credit:
// by rendezvous hashing, those with a large share of a processor before the others. An
// organisation over its quota has its owner decide on each of its requests.
func rankOwners(hosts map[string]roster.Host, organisation string) []string {
	largest := 0.0
	for _, host := range hosts {
		if host.Role == keys.RoleEntry {
			largest = max(largest, host.CPUShare)
		}
	}
	var large, small []string
	for id, host := range hosts {
		switch {
		case host.Role != keys.RoleEntry:
		case host.CPUShare >= minOwnerShare*largest:
			large = append(large, id)
		default:
			small = append(small, id)
		}
	}
	label := quotaLabel + organisation
	return append(membership.RendezvousRank(label, large), membership.RendezvousRank(label, small)...)
}

// sameHosts reports whether two lists have the same hosts, at the same addresses and of the same size.
func sameHosts(a, b map[string]roster.Host) bool {
	if len(a) != len(b) {
		return false
	}
	for id, host := range a {
		if other, ok := b[id]; !ok || other.Role != host.Role || other.InternalAddress != host.InternalAddress || other.CPUShare != host.CPUShare {
			return false
		}
	}
	return true
}

func (c *quotaClient) account(organisation string) *quota.Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	account := c.accounts[organisation]
	if account == nil {
		account = &quota.Account{}
		c.accounts[organisation] = account
	}
	return account
}

// sweep removes the accounts of organisations that nobody uses.
func (c *quotaClient) sweep(now time.Time, limited []*fleet.Organisation) {
	isLimited := func(name string) bool {
		return slices.ContainsFunc(limited, func(o *fleet.Organisation) bool { return o.Name == name })
	}
	c.mu.Lock()
	for name, account := range c.accounts {
		if !isLimited(name) && now.Sub(account.UsedAt()) > accountRetention {
			delete(c.accounts, name)
			delete(c.ranked, name)
		}
	}
	c.mu.Unlock()
	c.server.owner.Sweep(now, isLimited)
}
