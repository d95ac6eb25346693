package memory

import (
	"slices"
	"time"
)

// Kind is what memory is held for.
type Kind uint8

// The kinds.
const (
	Connection Kind = iota
	Head
	Body
	Response
	kinds
)

// Kinds are all kinds.
var Kinds = []Kind{Connection, Head, Body, Response}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Connection:
		return "connection"
	case Head:
		return "head"
	case Body:
		return "body"
	default:
		return "response"
	}
}

// Limits are those of a budget.
type Limits struct {
	// Total is the limit of all claims together, in bytes.
	Total int64
	// Reserved is the part of Total that is only for claims of at most SmallClaim bytes.
	Reserved   int64
	SmallClaim int64
	// MinStall is the time without progress after which a claim may be cut off.
	MinStall time.Duration
	// MaxClaims is the largest number of claims.
	MaxClaims int
}

// Budget decides on reservations. It isn't safe for concurrent use.
type Budget struct {
	limits Limits
	held   [kinds]int64
	total  int64
	claims map[*Claim]struct{}
}

// NewBudget returns a budget of which nothing is held.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, claims: make(map[*Claim]struct{})}
}

// Open adds a claim that holds size bytes of kind Connection. If there is no room, it
// returns false and the claims that are to be cut off to make room.
func (b *Budget) Open(now time.Time, c *Claim, size int64) (bool, []*Claim) {
	excess := b.excess(c, size)
	if excess <= 0 && len(b.claims) < b.limits.MaxClaims {
		b.claims[c] = struct{}{}
		b.add(c, Connection, size)
		return true, nil
	}
	return false, b.victims(now, c, max(excess, size))
}

// Reserve adds n bytes to a claim. If there is no room, it returns false and the claims
// that are to be cut off to make room.
func (b *Budget) Reserve(now time.Time, c *Claim, kind Kind, n int64) (bool, []*Claim) {
	excess := b.excess(c, n)
	if excess <= 0 {
		b.add(c, kind, n)
		return true, nil
	}
	return false, b.victims(now, c, excess)
}

// excess returns by how many bytes a reservation exceeds the limit.
func (b *Budget) excess(c *Claim, n int64) int64 {
	limit := b.limits.Total
	if c.total+n > b.limits.SmallClaim {
		limit -= b.limits.Reserved
	}
	return b.total + n - limit
}

func (b *Budget) add(c *Claim, kind Kind, n int64) {
	c.held[kind] += n
	c.total += n
	b.held[kind] += n
	b.total += n
}

// Release removes n bytes from a claim.
func (b *Budget) Release(c *Claim, kind Kind, n int64) { b.add(c, kind, -n) }

// EndRequest removes what a claim holds for a request: all but its connection.
func (b *Budget) EndRequest(c *Claim) {
	for _, kind := range []Kind{Head, Body, Response} {
		b.add(c, kind, -c.held[kind])
	}
}

// Close removes a claim.
func (b *Budget) Close(c *Claim) {
	b.EndRequest(c)
	b.add(c, Connection, -c.held[Connection])
	delete(b.claims, c)
}

// Held returns the bytes held of a kind.
func (b *Budget) Held(kind Kind) int64 { return b.held[kind] }

// Claims returns the number of claims.
func (b *Budget) Claims() int { return len(b.claims) }

// victims returns the claims to cut off so that at least need bytes become free, the worst
// first, or as many as there are. Those that were cut off before count as free soon.
func (b *Budget) victims(now time.Time, asking *Claim, need int64) []*Claim {
	type candidate struct {
		claim *Claim
		score float64
	}
	var candidates []candidate
	for c := range b.claims {
		if c == asking {
			continue
		}
		if c.isCutOff() {
			need -= c.total
			continue
		}
		if stall := c.Stall(now); stall >= b.limits.MinStall {
			candidates = append(candidates, candidate{c, float64(c.total) * stall.Seconds()})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		default:
			return 0
		}
	})
	var chosen []*Claim
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		chosen = append(chosen, c.claim)
		need -= c.claim.total
	}
	return chosen
}
