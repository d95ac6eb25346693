package platformsite

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// changeSettings modifies a process's settings file.
func (s *Site) changeSettings(id string, change func(map[string]any)) error {
	path := filepath.Join(s.dir, id+".json")
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("platform site: settings of %s: %w", id, err)
	}
	var config map[string]any
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&config); err != nil {
		return fmt.Errorf("platform site: settings of %s: %w", id, err)
	}
	change(config)
	_, err = s.writeSettings(id, config)
	return err
}

// ChangeLogLevel changes the log level in a process's settings file.
func (s *Site) ChangeLogLevel(id, level string) error {
	return s.changeSettings(id, func(config map[string]any) { config["log"] = map[string]any{"level": level} })
}

// BreakSettings removes a required address from a process's settings file.
func (s *Site) BreakSettings(id string) error {
	return s.changeSettings(id, func(config map[string]any) {
		if listen, ok := config["listen"].(map[string]any); ok {
			delete(listen, "inner")
		}
	})
}

// StallOutput restarts an entry with its standard output going to a pipe that nobody
// reads. release closes the pipe.
func (s *Site) StallOutput(entry *Entry) (stalled *Entry, release func(), err error) {
	if err := entry.Kill(); err != nil {
		return nil, nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, nil, fmt.Errorf("platform site: pipe: %w", err)
	}
	process := site.NewProcess(entry.ID, s.binaries.Entry, []string{"gateway", "--settings", entry.settingsPath}, s.logPath(entry.ID))
	process.Output = writer
	copied := *entry
	copied.Process = process
	err = process.Start()
	entry.Process = process
	release = func() {
		_ = reader.Close()
		_ = writer.Close()
	}
	return &copied, release, err
}
