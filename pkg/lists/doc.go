// Package lists defines the two documents that operators edit: the customers'
// plans and the allowances, which state what each plan may use and how much
// capacity. The package checks both documents, stores accepted revisions in the
// key-value service and guarantees that a process never goes back to an older
// revision.
package lists
