package gateway

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/quota"
)

const (
	// quotaKeepInterval is how often an entry looks which quotas it owns, and to which
	// owners it has to report.
	quotaKeepInterval = 100 * time.Millisecond
	// quotaSweepInterval is how often unused accounts are removed.
	quotaSweepInterval = time.Minute
	// maxQuotaReports limits the reports that are on their way.
	maxQuotaReports = 16
)

// keep fills the buckets of the quotas that this entry owns, and reports to the owners
// of the others, until ctx ends. It does nothing on a site without limited organisations.
func (c *quotaClient) keep(ctx context.Context) {
	ticker := time.NewTicker(quotaKeepInterval)
	defer ticker.Stop()
	reports := make(chan struct{}, maxQuotaReports)
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		limited, version := c.limitedOrganisations()
		for _, organisation := range limited {
			c.keepQuota(ctx, now, organisation, version, reports)
		}
		if now.Sub(swept) > quotaSweepInterval {
			swept = now
			c.sweep(now, limited)
		}
	}
}

// keepQuota fills the bucket of a quota that this entry owns, and reports to its owner
// if that is due. The reports on their way are limited.
func (c *quotaClient) keepQuota(ctx context.Context, now time.Time, organisation *fleet.Organisation, version int64, reports chan struct{}) {
	if _, ranked := c.rankedEntries(organisation.Name); len(ranked) > 0 && ranked[0] == c.self {
		c.server.owner.Own(now, organisation.Name, quota.LimitOf(organisation.Quota, c.server.bounds))
	}
	if !c.account(organisation.Name).IsReportDue(now) {
		return
	}
	select {
	case reports <- struct{}{}:
		go func() {
			defer func() { <-reports }()
			c.report(ctx, organisation, version)
		}()
	default:
		// The next round reports.
	}
}

// limitedOrganisations returns the organisations with a limit, and the version of the
// configuration.
func (c *quotaClient) limitedOrganisations() ([]*fleet.Organisation, int64) {
	table := c.control.current().table
	if table == nil {
		return nil, 0
	}
	var limited []*fleet.Organisation
	organisations := table.Configuration().Organisations
	for i := range organisations {
		if organisations[i].Quota.IsLimited() {
			limited = append(limited, &organisations[i])
		}
	}
	return limited, table.Configuration().Version
}
