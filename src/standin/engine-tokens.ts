import { hashText } from '../shared/rendezvous.js'

const words = ['stone', 'arch', 'lime', 'verse', 'lotus', 'gold', 'proof', 'chisel', 'paper', 'ink', 'façade', 'மலர்', 'සුබ', 'joy']

/** Returns one token. The same model, prompt and index give the same text on every engine. */
export function getToken (model: string, prompt: string, tokenIndex: number): string {
  const word = words[hashText(`${model}\n${prompt}\n${tokenIndex}`) % words.length] ?? ''
  return `${word}-${tokenIndex} `
}
