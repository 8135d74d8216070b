/**
 * The number of concurrent requests that a target serves well, found from how it responds, and its speed.
 */
export {}
