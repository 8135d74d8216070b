/**
 * Allowances of customers over all daemons together: the issuer of an allowance, and the daemons that ask it.
 */
export {}
