/** The project's own lint rules: verbs, index files, and the words that the brief replaces. */
import {readFileSync} from 'node:fs';

const verbs = new Set(
  [...readFileSync('docs/VERBS.md', 'utf8').matchAll(/^\| ([a-z]+) \|/gm)].map(
    match => match[1],
  ),
);
verbs.delete('verb');

const REPLACED_WORDS =
  /\b(zones?|customers?|back[ -]?ends?(?![ -]?(server|_))|machines?)\b/i;
const ALLOWED_PHRASES = /state machines?|backend servers?/gi;

function isNameAllowed(name) {
  const verb = /^_?([a-z]+)/.exec(name)?.[1];
  return verb === undefined || verbs.has(verb);
}

const verbRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const checkName = (node, name) => {
      if (isNameAllowed(name)) return;
      context.report({
        node,
        message: `'${name}' does not begin with a verb of docs/VERBS.md.`,
      });
    };
    return {
      FunctionDeclaration(node) {
        if (node.id) checkName(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') {
          checkName(node.key, node.key.name);
        }
      },
      TSMethodSignature(node) {
        if (node.key.type === 'Identifier') checkName(node.key, node.key.name);
      },
    };
  },
};

const wordRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    return {
      Program() {
        context.sourceCode.lines.forEach((line, index) => {
          const found = REPLACED_WORDS.exec(line.replace(ALLOWED_PHRASES, ''));
          if (found === null) return;
          const loc = {line: index + 1, column: 0};
          context.report({
            loc,
            message: `'${found[0]}': see docs/GLOSSARY.md for the word to use.`,
          });
        });
      },
    };
  },
};

/** Names that only the platform's messages have; packages/platform/ translates them. */
const WIRE_NAMES =
  /[Ss]erver-[Ss]eal|[Ss]hard-[Kk]ey|[Ee]xpect-[Ii]nstance|beat_addr|hold_ms|hold_max_ms|res_type|path_prefix|cold_left_ms|store_revision|app_addr/;

const wireNameRule = {
  meta: {type: 'problem', schema: []},
  create(context) {
    return {
      Program() {
        context.sourceCode.lines.forEach((line, index) => {
          const found = WIRE_NAMES.exec(line);
          if (found === null) return;
          context.report({
            loc: {line: index + 1, column: 0},
            message: `'${found[0]}' is a name of the platform; translate it in packages/platform/.`,
          });
        });
      },
    };
  },
};

const headRule = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    return {
      Program(node) {
        const first = context.sourceCode.getAllComments()[0];
        const isHead = first?.type === 'Block' && first.range[0] === 0;
        if (!isHead)
          context.report({
            node,
            message: 'A module begins with prose on what it does.',
          });
      },
    };
  },
};

const indexRule = {
  meta: {type: 'problem', schema: []},
  create(context) {
    return {
      Program(node) {
        if (/(^|\/)index\.[cm]?[jt]s$/.test(context.filename)) {
          context.report({node, message: 'Index files are not used.'});
        }
      },
    };
  },
};

export default {
  rules: {
    verb: verbRule,
    word: wordRule,
    'wire-name': wireNameRule,
    'module-head': headRule,
    'no-index': indexRule,
  },
};
