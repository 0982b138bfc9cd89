package check

// checkBodyLimit reports a limit of bodies that is negative or over the platform's.
func (x *routeCheck) checkBodyLimit() {
	switch n := x.MaxBody; {
	case n < 0:
		x.add(InvalidValue, None, FieldMaxBody, "use 0 for the platform's limit, or a number of bytes", "the limit of bodies is %d bytes", n)
	case x.facts.MaxBody > 0 && n > x.facts.MaxBody:
		x.add(BodyLimit, None, FieldMaxBody, "lower the limit to that of the platform",
			"the limit of bodies is %d bytes, that of the platform %d bytes", n, x.facts.MaxBody)
	}
}
