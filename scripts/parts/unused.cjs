/** Replaces libraries that other libraries include but that the program never calls. */
'use strict';

function refuseCall() {
  throw new Error('This library is not bundled.');
}

module.exports = refuseCall;
