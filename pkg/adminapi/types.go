// Package adminapi implements the administration API of an entry host, through
// which administrators read and change the lists and read the site's status. Its
// credentials are separate from those of callers.
package adminapi

import (
	"context"

	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/schema"
)

// Paths of the API.
const (
	ListsPath  = "/admin/v1/lists"
	StatusPath = "/admin/v1/status"
	DumpPath   = "/debug/state"
)

// ListsService stores the lists. *lists.Store implements it.
type ListsService interface {
	Get(ctx context.Context) (lists.Snapshot, error)
	Put(ctx context.Context, expectedRevision int64, plans lists.Plans, allowances lists.Allowances, author string) (int64, error)
}

// StatusSource provides the status of the site as this entry sees it.
type StatusSource interface {
	Status() Status
}

// Status is the status of the site as one entry sees it.
type Status struct {
	Host string `json:"host"`
	// ListsRevision is the revision of the entry's active lists.
	ListsRevision int64            `json:"lists_revision"`
	ListsRejected *lists.Rejection `json:"lists_rejected,omitempty"`
	Models        []ModelStatus    `json:"models"`
	Runners       []RunnerStatus   `json:"runners"`
	Plans         []PlanStatus     `json:"plans"`
}

// ModelStatus is the status of one model version across all runners.
type ModelStatus struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Permitted, Loading and Loaded count runners.
	Permitted int `json:"permitted"`
	Loading   int `json:"loading"`
	Loaded    int `json:"loaded"`
	// Queued counts the requests that wait for the model.
	Queued int `json:"queued"`
}

// RunnerStatus is the status of one backend server, as its agent reports it.
type RunnerStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
	Reachable     bool   `json:"reachable"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// MemoryMiB and FreeMemoryMiB are the accelerator memory in MiB.
	MemoryMiB     int64    `json:"memory_mib"`
	FreeMemoryMiB int64    `json:"free_memory_mib"`
	Services      []string `json:"services,omitempty"`
}

// PlanStatus counts one plan's requests at the entry.
type PlanStatus struct {
	Plan string `json:"plan"`
	// Running counts the plan's requests in flight at the entry.
	Running int `json:"running"`
	// Answered and Refused count requests since the entry started.
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
}

// ErrorCode identifies the kind of an API error.
type ErrorCode string

// Error codes.
const (
	CodeUnauthorized ErrorCode = "unauthorized"       // no valid token
	CodeForbidden    ErrorCode = "forbidden"          // the role doesn't allow it
	CodeInvalid      ErrorCode = "invalid"            // the request can't be read
	CodeTooLarge     ErrorCode = "too-large"          // the body exceeds the limit
	CodeNoCondition  ErrorCode = "condition-required" // the revision to match is missing
	CodeConflict     ErrorCode = "conflict"           // the revision doesn't match
	CodeRefused      ErrorCode = "refused"            // the checks found problems
	CodeUnreadable   ErrorCode = "unreadable"         // the stored lists can't be read
	CodeUnavailable  ErrorCode = "unavailable"        // the change was not made
	CodeUncertain    ErrorCode = "uncertain"          // the change may have been made
)

// ErrorBody is the JSON body of all responses with a status other than 2xx.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failed request.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// CurrentRevision is set with CodeConflict.
	CurrentRevision *int64 `json:"current_revision,omitempty"`
	// Problems is set with CodeRefused.
	Problems []schema.Problem `json:"problems,omitempty"`
	// ChangeID is set with CodeUncertain.
	ChangeID string `json:"change_id,omitempty"`
}

// PutBody is the body of a request that changes the lists.
type PutBody struct {
	// Revision may repeat the revision of If-Match; zero is ignored.
	Revision   int64            `json:"revision,omitempty"`
	Plans      lists.Plans      `json:"plans"`
	Allowances lists.Allowances `json:"allowances"`
}

// PutResult is the response to an accepted change.
type PutResult struct {
	Revision int64 `json:"revision"`
}
