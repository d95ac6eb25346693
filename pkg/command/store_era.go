package command

import "log/slog"

// LogStoreEra returns a function that logs a change of the store's era, or why one can't be
// read.
func LogStoreEra(logger *slog.Logger) func(before, after int64, err error) {
	return func(before, after int64, err error) {
		if err != nil {
			logger.Error("store era unusable, keeping the known one", "belief", "store", "era", before, "error", err)
			return
		}
		logger.Warn("store era changed, positions of earlier eras are discarded", "belief", "store", "before", before, "era", after)
	}
}
