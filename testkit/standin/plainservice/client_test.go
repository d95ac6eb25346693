package plainservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

// TestRunsAreCounted checks that a run is counted even if its response is dropped,
// and that a refused call isn't run.
func TestRunsAreCounted(t *testing.T) {
	server := New("orders")
	listener := httptest.NewServer(server)
	defer listener.Close()
	client := engine.NewHTTPService(listener.URL)
	call := engine.Call{RequestID: "r1", Method: http.MethodPost, Path: "/book", IdempotencyKey: "k"}
	response, err := client.Call(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var receipt Receipt
	if err := json.NewDecoder(response.Body).Decode(&receipt); err != nil || receipt.Run != 1 || receipt.RequestID != "r1" {
		t.Errorf("receipt %+v, %v", receipt, err)
	}
	tests := []struct {
		faults Faults
		notRun bool
	}{
		{Faults{DropNextResponse: 1}, false},
		{Faults{RefuseNext: 1}, true},
	}
	for _, test := range tests {
		server.SetFaults(test.faults)
		_, err := client.Call(t.Context(), call)
		var failed *engine.Error
		if !errors.As(err, &failed) || failed.NotRun != test.notRun {
			t.Errorf("%+v: error %v, want NotRun = %v", test.faults, err, test.notRun)
		}
	}
	want := Runs{Total: 2, Started: 2, ByKey: map[string]int{"k": 2}, ByRequest: map[string]int{"r1": 2}}
	if got := server.Runs(); !reflect.DeepEqual(got, want) {
		t.Errorf("runs %+v, want %+v", got, want)
	}
}
