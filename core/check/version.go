package check

import "oleandervalve"

// checkVersion reports a version that processes ignore, because the one in force is as
// new. An unchanged configuration needs no new version.
func (x *routeCheck) checkVersion() {
	if x.inForce != nil && x.facts.Changed && x.Version <= x.inForce.Version {
		x.add(OldVersion, None, FieldVersion, "use a version over that in force",
			"version %d is not newer than version %d in force, so every process ignores the change", x.Version, x.inForce.Version)
	}
}

// checkVersion reports an expected version that the API would refuse as a conflict.
func (x *objectCheck) checkVersion(i int, d Document) {
	var current oleandervalve.Version
	if o, found := x.inForce[d.Object.Ref()]; found {
		current = o.Version
	}
	if x.Versioned && d.Version != nil && *d.Version != current {
		x.add(OldVersion, i, "version", "repeat the change on the version in force and give that version, or leave it out",
			"the change is based on version %d, in force is version %d", *d.Version, current)
	}
}
