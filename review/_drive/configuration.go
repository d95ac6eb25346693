package main

import (
	"encoding/json"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// The prefixes of the routes: a stream that runs once at most, and one that may be resumed.
const (
	advicePath = "/advice/"
	batchPath  = "/batch/"
	// bookingPath may run once at most.
	bookingPath = "/booking/"
)

// The services: model runners, and a service without models.
const (
	engineService = "engine"
	deskService   = "desk"
)

// configuration returns the operator's configuration for a deployment of model runners.
func configuration(slots int, mb float64, models []model) []byte {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m.name, "weightsMb": m.mb, "adapters": 0, "adapterMb": 40,
			"loadS": m.load.Seconds(), "diskS": m.disk.Seconds(), "warmS": 0.4,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{
				"name": "advice", "host": host, "pathPrefix": advicePath, "routeType": "streaming", "timeoutMs": 12000, "targetLatencyMs": 300,
				"maxAttempts": 1, "priority": 1, "gapAimMs": 150, "service": engineService, "sticky": true,
			},
			{
				"name": "batch", "host": host, "pathPrefix": batchPath, "routeType": "streaming", "timeoutMs": 25000, "targetLatencyMs": 3000,
				"maxAttempts": 2, "priority": 1, "gapAimMs": 150, "resumable": true, "service": engineService, "sticky": true,
			},
			{
				"name": "booking", "host": host, "pathPrefix": bookingPath, "routeType": "non_idempotent", "timeoutMs": 600, "targetLatencyMs": 120,
				"maxAttempts": 1, "priority": 2, "service": deskService,
			},
		},
		"services": []map[string]any{{
			"name": engineService, "healthPath": "/health", "maxConnections": 250,
			"engine": map[string]any{"slots": slots, "weightsMb": mb, "adapterSlots": 8, "loadsPerS": 2.6, "diskMb": 830000, "models": list},
		}, {
			"name": deskService, "healthPath": "/health", "maxConnections": 110,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return value
}

// deadline is the time that clients wait.
const deadline = 12 * time.Second
