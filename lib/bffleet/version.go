package bffleet

// VersionFilter restricts a choice to targets of some versions of a service. It is one of
// OnlyVersion and ExceptVersion.
type VersionFilter interface{ versionFilter() }

// OnlyVersion selects the targets of one version.
type OnlyVersion struct {
	Version string
	// Window returns the first index and the number of the targets of the version that are
	// selected, in the order of their addresses and continuing at the start; nil for all.
	Window func(targets int) (first, count int)
}

// ExceptVersion selects the targets of all other versions.
type ExceptVersion struct{ Version string }

func (OnlyVersion) versionFilter()   {}
func (ExceptVersion) versionFilter() {}

// selectVersions returns the targets that a filter selects.
func selectVersions(targets []*Target, filter VersionFilter) []*Target {
	switch filter := filter.(type) {
	case OnlyVersion:
		selected := withVersion(targets, func(version string) bool { return version == filter.Version })
		if filter.Window == nil || len(selected) == 0 {
			return selected
		}
		first, count := filter.Window(len(selected))
		window := make([]*Target, 0, count)
		for i := range min(count, len(selected)) {
			window = append(window, selected[(first+i)%len(selected)])
		}
		return window
	case ExceptVersion:
		return withVersion(targets, func(version string) bool { return version != filter.Version })
	}
	return targets
}

func withVersion(targets []*Target, matches func(version string) bool) (selected []*Target) {
	for _, t := range targets {
		if matches(t.member.Version) {
			selected = append(selected, t)
		}
	}
	return selected
}

// HasOtherVersions reports whether a service has targets of a version other than the given one.
func (f *Fleet) HasOtherVersions(service, version string) bool {
	for _, t := range f.view.Load().services[service] {
		if t.member.Version != version {
			return true
		}
	}
	return false
}
