package adminapi

import (
	"net/http"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const bearerPrefix = "Bearer "

// authenticate finds the credential of a request's bearer token. It compares
// all credentials, each in constant time.
func authenticate(credentials []settings.AdminCredential, r *http.Request) (settings.AdminCredential, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return settings.AdminCredential{}, false
	}
	hash := keys.HashAPIKey(token)
	var match settings.AdminCredential
	found := false
	for _, credential := range credentials {
		if keys.EqualHash(credential.TokenHash, hash) {
			match = credential
			found = true
		}
	}
	return match, found
}

// permits tells whether a role includes the required one.
func permits(role, required settings.AdminRole) bool {
	return role == required || role == settings.AdminEditor
}
