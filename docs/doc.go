// Package docs holds the tests of the documentation pages.
package docs
