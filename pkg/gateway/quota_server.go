package gateway

import (
	"log/slog"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/quota"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// quotaServer issues the credit of quotas to all entries.
type quotaServer struct {
	owner   *quota.Owner
	control *control
	bounds  quota.Bounds
	logger  *slog.Logger
}

// serve responds to another entry's request for credit.
func (s *quotaServer) serve(peer string, stream *wire.Stream, request *wire.QuotaRequest) {
	grant := s.decide(time.Now(), peer, request)
	err := stream.Send(&wire.Frame{QuotaGrant: &wire.QuotaGrant{
		Credit:           grant.Credit,
		Share:            grant.Share,
		RetryAfterMillis: uint32(grant.RetryAfter.Milliseconds()),
		Left:             grant.Left,
		PerSecond:        grant.PerSecond,
	}})
	if err != nil {
		// The asking entry logs that it got no response; the credit is lost.
		s.logger.Debug("credit of a quota not sent", "organisation", request.Organisation, "entry", peer, "error", err)
	}
}

// decide issues credit by the newer one of this entry's and the sender's configuration.
func (s *quotaServer) decide(now time.Time, entry string, r *wire.QuotaRequest) quota.Grant {
	limited := fleet.Quota{PerSecond: r.PerSecond, Burst: r.Burst}
	if table := s.control.current().table; table != nil && table.Configuration().Version >= r.Configuration {
		if own := organisationNamed(table, r.Organisation); own != nil && own.Quota.IsLimited() {
			limited = own.Quota
		}
	}
	return s.owner.Decide(now, quota.LimitOf(limited, s.bounds), quota.Request{
		Organisation: r.Organisation,
		Entry:        entry,
		Incarnation:  r.Incarnation,
		Cost:         r.Cost,
		Ahead:        r.Ahead,
		Demand:       r.Demand,
		Frequent:     r.Frequent,
		Share:        r.Share,
		Returned:     r.Returned,
		Entries:      r.Entries,
		Substitute:   r.Substitute,
	})
}

// organisationNamed returns an organisation of the configuration; nil if there is none.
func organisationNamed(table *fleet.Table, name string) *fleet.Organisation {
	organisations := table.Configuration().Organisations
	for i := range organisations {
		if organisations[i].Name == name {
			return &organisations[i]
		}
	}
	return nil
}
