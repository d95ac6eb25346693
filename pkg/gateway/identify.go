package gateway

import (
	"net/http"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
)

// Why a caller isn't identified, as named in logs, metrics and responses.
const (
	reasonNoKey      = "no key"
	reasonManyKeys   = "more than one key"
	reasonUnknownKey = "unknown key"
)

// identity is who sent a request, by the configuration that was active when it arrived.
type identity struct {
	// callersHaveKeys is set on a site with organisations.
	callersHaveKeys bool
	// organisation is the organisation whose request this is; nil on a site without
	// organisations and on public routes.
	organisation *fleet.Organisation
	// keyHolder is the organisation that holds the caller's key, also on public routes;
	// nil if there is none.
	keyHolder *fleet.Organisation
}

// identify returns who sent a request of a route, or why the request is refused: if the
// route isn't public and the request doesn't have exactly one key that an organisation
// holds. An empty header counts as none.
func identify(table *fleet.Table, route *fleet.Route, caller forward.RequestInfo) (identity, string) {
	if !table.HasOrganisations() {
		return identity{}, ""
	}
	who := identity{callersHaveKeys: true}
	reason := ""
	switch {
	case caller.ManyKeys:
		reason = reasonManyKeys
	case caller.CallerKey == "":
		reason = reasonNoKey
	default:
		who.keyHolder = table.Organisation(keys.HashAPIKey(caller.CallerKey))
		if who.keyHolder == nil {
			reason = reasonUnknownKey
		}
	}
	if route.Public {
		return who, ""
	}
	who.organisation = who.keyHolder
	return who, reason
}

// identify returns who sent a request, or its refusal.
func (h *handler) identify(table *fleet.Table, route *fleet.Route, caller forward.RequestInfo) (identity, *refusal) {
	who, reason := identify(table, route, caller)
	if reason == "" {
		return who, nil
	}
	failure := h.refusalByConfiguration(table.Configuration().Version, refusal{status: http.StatusUnauthorized, reason: reason})
	if failure.status == http.StatusUnauthorized {
		h.observer.metrics.Unidentified(reason)
	}
	return identity{}, &failure
}

// priority returns the request's priority: the organisation's if it has one, otherwise the
// route's. 0 is the highest.
func (x *exchange) priority() int {
	if x.organisation != nil && x.organisation.Priority != nil {
		return *x.organisation.Priority
	}
	return x.route.Priority
}

// nameOf returns an organisation's name; empty for none.
func nameOf(organisation *fleet.Organisation) string {
	if organisation == nil {
		return ""
	}
	return organisation.Name
}
