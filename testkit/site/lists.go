package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/lists"
)

// The API keys for the plans of DefaultLists.
const (
	KeyPrepress = "example-key-prepress"
	KeyReports  = "example-key-reports"
)

// DefaultLists returns two plans and three models. The plan "prepress" may use
// everything, "reports" only the model "batch-report".
func DefaultLists() (lists.Plans, lists.Allowances) {
	plans := lists.Plans{Plans: []lists.Plan{
		{Name: "prepress", Customer: "Prepress", APIKeyHashes: []string{keys.HashAPIKey(KeyPrepress)}, Weight: 3},
		{Name: "reports", Customer: "Reports", APIKeyHashes: []string{keys.HashAPIKey(KeyReports)}, Weight: 1},
	}}
	allowances := lists.Allowances{
		Models: []lists.Model{
			{Name: "colour-match", Version: "1", MemoryMiB: 30720, MaxReplicas: 1},
			{Name: "batch-report", Version: "1", MemoryMiB: 40960, MaxReplicas: 1},
			{Name: "batch-report", Version: "2", MemoryMiB: 40960, MaxReplicas: 2},
		},
		Services: []lists.Service{{Name: "orders", IdempotentMethods: []string{http.MethodGet}}},
		Allowances: []lists.Allowance{
			{Plan: "prepress", Models: []string{"*"}, Adapters: []string{"*"}, Services: []string{"*"}},
			{Plan: "reports", Models: []string{"batch-report"}},
		},
	}
	return plans, allowances
}

func (s *Site) putInitialLists(ctx context.Context) error {
	plansFile, allowancesFile := s.options.PlansFile, s.options.AllowancesFile
	if plansFile == "" || allowancesFile == "" {
		plans, allowances := DefaultLists()
		var err error
		if plansFile, allowancesFile, err = s.writeLists(s.Entries[0], plans, allowances); err != nil {
			return err
		}
	}
	return s.putListFiles(ctx, s.Entries[0], plansFile, allowancesFile, "--if-empty")
}

// PutLists replaces the lists of the given revision through the first entry.
func (s *Site) PutLists(ctx context.Context, revision int64, plans lists.Plans, allowances lists.Allowances) error {
	return s.PutListsAt(ctx, s.Entries[0], revision, plans, allowances)
}

// PutListsAt replaces the lists of the given revision through an entry. It is safe
// for concurrent use with different entries.
func (s *Site) PutListsAt(ctx context.Context, entry *Host, revision int64, plans lists.Plans, allowances lists.Allowances) error {
	plansFile, allowancesFile, err := s.writeLists(entry, plans, allowances)
	if err != nil {
		return err
	}
	return s.putListFiles(ctx, entry, plansFile, allowancesFile, "--revision", strconv.FormatInt(revision, 10))
}

func (s *Site) writeLists(entry *Host, plans lists.Plans, allowances lists.Allowances) (plansFile, allowancesFile string, err error) {
	plansFile, allowancesFile = entry.ID+"-plans.json", entry.ID+"-allowances.json"
	if err := s.writeJSON(plansFile, plans); err != nil {
		return "", "", err
	}
	if err := s.writeJSON(allowancesFile, allowances); err != nil {
		return "", "", err
	}
	return filepath.Join(s.dir, plansFile), filepath.Join(s.dir, allowancesFile), nil
}

func (s *Site) putListFiles(ctx context.Context, entry *Host, plansFile, allowancesFile string, condition ...string) error {
	args := []string{
		"lists", "put", "--url", "http://" + entry.Admin,
		"--plans", plansFile, "--allowances", allowancesFile,
	}
	return s.runEntryCommand(ctx, append(args, condition...)...)
}

// Status returns the site's state as an entry reports it.
func (s *Site) Status(ctx context.Context, entry *Host) (adminapi.Status, error) {
	var status adminapi.Status
	err := s.getAdmin(ctx, entry, adminapi.StatusPath, &status)
	return status, err
}

// Lists returns an entry's active lists and their revision.
func (s *Site) Lists(ctx context.Context, entry *Host) (lists.Snapshot, error) {
	var snapshot lists.Snapshot
	err := s.getAdmin(ctx, entry, adminapi.ListsPath, &snapshot)
	return snapshot, err
}

func (s *Site) getAdmin(ctx context.Context, entry *Host, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Admin+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+s.adminToken)
	response, err := httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("site: %s: %w", path, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("site: %s returns status %d", path, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("site: decode %s: %w", path, err)
	}
	return nil
}
