package site

// StartTwin starts a second process with a host's settings beside its first. It
// is not one of the site's hosts; Close ends it.
func (s *Site) StartTwin(host *Host) (*Host, error) {
	twin := *host
	twin.Process = s.process(host.ID+"-twin", host.path, host.args)
	if err := twin.start(); err != nil {
		return nil, err
	}
	return &twin, nil
}
