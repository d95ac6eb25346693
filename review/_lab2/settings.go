package main

import (
	"fmt"
	"regexp"
	"strings"
)

// fields are the fields of a process from which the platform fills in its template, by
// their full names.
type fields map[string]string

// entryFields returns the fields of an entry on a machine, with the figures of a small
// deployment.
func entryFields(name, ip, store string) fields {
	f := commonFields(name, ip, store)
	f["listen.front"] = quote(ip + ":8149")
	f["listen.ready"] = quote(ip + ":8141")
	f["limits.cpuShare"] = "0.304"
	f["limits.memoryMb"] = "284"
	f["limits.maxFds"] = "4100"
	f["heartbeatMs"] = "1200"
	f["bounds.budgetRatio"] = "0.2"
	f["bounds.budgetSlack"] = "58"
	f["bounds.budgetWindowS"] = "10"
	f["bounds.graceS"] = "8"
	return f
}

// agentFields returns the fields of an agent beside a runner.
func agentFields(name, ip, store, runner string) fields {
	f := commonFields(name, ip, store)
	f["app"] = quote(runner)
	f["limits.memoryMb"] = "216"
	f["limits.maxFds"] = "4096"
	return f
}

func commonFields(name, ip, store string) fields {
	return fields{
		"nodeName": quote(name), "region": quote("nl-west"), "zone": quote("nl-west-a"),
		"ip": quote(ip), "internalPortRange.0": "7380", "platform.address": quote(store),
	}
}

func quote(s string) string { return `"` + s + `"` }

var (
	section     = regexp.MustCompile(`\{\{([#^])([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills in a template as the platform does: as JSON where the placeholder asks for it,
// and as plain text elsewhere. Sections stand for single values only.
func (f fields) fill(template string) (string, error) {
	text := section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		value, ok := f[parts[2]]
		switch {
		case ok && parts[1] == "#":
			return strings.ReplaceAll(parts[3], "{{.}}", value)
		case !ok && parts[1] == "^":
			return parts[3]
		default:
			return ""
		}
	})
	var missing error
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, ok := f[parts[1]]
		if !ok {
			missing = fmt.Errorf("template needs %q", parts[1])
		}
		if parts[2] == "" {
			value = strings.Trim(value, `"`)
		}
		return value
	})
	return text, missing
}
