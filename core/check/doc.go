// Package check examines a configuration before it is sent: the objects of the
// operators' API and the routes of the hosted configuration. It decodes and validates
// with the code that the processes use, so it accepts no field that they refuse. It
// additionally reports what the processes accept although it is likely to be a mistake.
// It also lists the difference from the version in force. The package has no I/O.
//
// Its load is one configuration of up to 5,000 routes or 5,000 objects per call.
package check
