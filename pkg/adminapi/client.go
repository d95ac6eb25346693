package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/lists"
)

// maxResponseBytes limits the size of a response that the client reads.
const maxResponseBytes = 64 << 20

// Client is a client of the administration API.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// ResponseError is a response with a status other than 2xx that has no error type
// of its own.
type ResponseError struct {
	StatusCode int
	Detail     ErrorDetail
}

// Error implements error.
func (e *ResponseError) Error() string {
	if e.Detail.Code == "" {
		return fmt.Sprintf("administration API: HTTP %d", e.StatusCode)
	}
	return fmt.Sprintf("administration API: %s: %s", e.Detail.Code, e.Detail.Message)
}

// NewClient returns a client of the API at baseURL, such as
// "https://192.0.2.1:9443". With an empty token, requests carry no credentials.
func NewClient(baseURL, token string, client *http.Client) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), token: token, http: client}
}

// GetLists reads the current lists; revision zero means that none are stored.
func (c *Client) GetLists(ctx context.Context) (lists.Snapshot, error) {
	var snapshot lists.Snapshot
	err := c.do(ctx, http.MethodGet, ListsPath, nil, nil, &snapshot)
	return snapshot, err
}

// PutLists replaces the lists if their revision is still the expected one; zero
// means that none are stored. Errors are those of lists.Store.Put or a
// *ResponseError; a transport error is a *lists.UncertainError unless the request
// was certainly not sent.
func (c *Client) PutLists(ctx context.Context, expected int64, plans lists.Plans, allowances lists.Allowances) (int64, error) {
	header := http.Header{"If-Match": {etag(expected)}}
	if expected == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	var result PutResult
	err := c.do(ctx, http.MethodPut, ListsPath, header, PutBody{Plans: plans, Allowances: allowances}, &result)
	var conflict *lists.ConflictError
	if errors.As(err, &conflict) {
		conflict.Expected = expected
	}
	return result.Revision, err
}

// Status reads the status of the site.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, StatusPath, nil, nil, &status)
	return status, err
}

// Dump reads the state dump of the process.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	err := c.do(ctx, http.MethodGet, DumpPath, nil, nil, &dump)
	return dump, err
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body, result any) error {
	request, err := c.newRequest(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(method, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(method, err)
	}
	if response.StatusCode/100 != 2 {
		return responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return transportError(method, err)
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, header http.Header, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("administration API: encode request: %w", err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, content)
	if err != nil {
		return nil, fmt.Errorf("administration API: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", bearerPrefix+c.token)
	}
	return request, nil
}

// transportError returns an uncertain error for a change that may have been made
// without a readable response, and the wrapped error otherwise.
func transportError(method string, err error) error {
	wrapped := fmt.Errorf("administration API: %w", err)
	var opErr *net.OpError
	isDialError := errors.As(err, &opErr) && opErr.Op == "dial"
	if method != http.MethodPut || isDialError {
		return wrapped
	}
	return &lists.UncertainError{Err: wrapped}
}

// responseError returns the typed error for a response.
func responseError(status int, data []byte) error {
	var body ErrorBody
	// A body in another format leaves the detail empty.
	_ = json.Unmarshal(data, &body)
	detail := body.Error
	switch {
	case detail.Code == CodeConflict && detail.CurrentRevision != nil:
		return &lists.ConflictError{Current: *detail.CurrentRevision}
	case detail.Code == CodeRefused:
		return &lists.CheckError{Problems: detail.Problems}
	case detail.Code == CodeUncertain:
		return &lists.UncertainError{ChangeID: detail.ChangeID, Err: &ResponseError{StatusCode: status, Detail: detail}}
	default:
		return &ResponseError{StatusCode: status, Detail: detail}
	}
}
