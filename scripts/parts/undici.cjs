/** Exports the part of undici that the program uses: dispatchers and single requests. */
'use strict';

const {URL} = require('node:url');

const api = require('undici/lib/api');
const Agent = require('undici/lib/dispatcher/agent.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const buildConnector = require('undici/lib/core/connect.js');

Object.assign(Dispatcher.prototype, api);

const agent = new Agent();

/** Sends a request to a URL through a shared agent. */
function request(url, options = {}) {
  const {origin, pathname, search} = new URL(url);
  const path = `${pathname}${search}`;
  return agent.request({
    ...options,
    origin,
    path,
    method: options.method ?? 'GET',
  });
}

module.exports = {Agent, Client, Dispatcher, Pool, buildConnector, request};
